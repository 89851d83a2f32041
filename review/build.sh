#!/usr/bin/env bash
# Builds the drivers of the review's scripts, with their stand-ins, into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in [0-9]*/case.cc; do
    number=$(dirname "$source")
    clang++-19 -std=c++20 -O1 -Wall -Wextra -pthread -Isupport "$source" -o "out/case-$number"
done
