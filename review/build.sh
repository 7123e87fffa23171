#!/usr/bin/env bash
# Builds the stand-ins, the clients and the checks that the scripts start. Needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
