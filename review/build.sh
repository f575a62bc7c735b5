#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
