#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/drill ./review/drill
