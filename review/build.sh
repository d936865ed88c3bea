#!/bin/bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/harness
