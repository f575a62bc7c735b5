#!/usr/bin/env bash
# Builds the rig of the cases 6 to 10, which has all stand-ins that their scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/rig2
