#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 and later. Needs only rustc, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
