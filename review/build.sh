#!/usr/bin/env bash
# Builds what the scripts start beside the controllers: the stand-ins and the users of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
