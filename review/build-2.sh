#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, into review/out/2.
set -euo pipefail
cd "$(dirname "$0")"
out=out/2
mkdir -p "$out"
for name in announced_versions unframed_answer crashing_request; do
    "${CXX:-clang++-19}" -std=c++20 -O1 -Wall -Wextra -pthread \
        support-2/harness.cc support-2/fleet.cc "support-2/$name.cc" -o "$out/$name"
done
