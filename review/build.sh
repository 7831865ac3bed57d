#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The system itself is built by
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
