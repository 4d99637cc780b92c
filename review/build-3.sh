#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
