#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the review's own program, which has no dependencies, and the
# project's stand-in for the platform's store. The daemon itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p jayrack-testkit --bin jayrack-log-standin
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
