#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only, so that no
# registry is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standins review/standins/main.rs
