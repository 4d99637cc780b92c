#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
