#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy
# file: small ones of the review, and the project's own store.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/support-3/*.cc; do
    clang++-19 -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cc)" "$source"
done
cmake --build target --target users_platform_stand_in
