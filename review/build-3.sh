#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness-3 review/harness-3.rs
