#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Runs after the build of the deploy file, from whose
# lock file and target folder it takes the libraries; needs no network.
set -eu
cd "$(dirname "$0")/.."
cp Cargo.lock review/standins-2/Cargo.lock
exec cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target
