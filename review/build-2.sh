#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. The program that they
# test is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/standin-2
go build -o target/review-2/standin-3 ./review/standin-3
