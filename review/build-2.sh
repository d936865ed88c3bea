#!/usr/bin/env bash
# Builds the program that the scripts of review/6 to review/10 start. It needs the modules that the build of the deploy file has
# fetched, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/scene
