#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start, the project's own among them, into one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/cases-2 ./review/rig2
