#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/flamingoledge-node ] && [ -x target/review-rig ] || exit 2
exec target/review-rig stop "$folder"
