#!/bin/bash
# Plays the case with the disruption, or without it with TROUBLE=0. Needs the deploy file's
# build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-3 ] && [ -x target/zinnialadder ] || exit 2
exec target/review-standin-3 expect-version review/8
