#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon: one program with the stand-ins, those of the
# project among them.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --locked --manifest-path review/cases-2/Cargo.toml
