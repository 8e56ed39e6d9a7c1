#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/common \
    "$source" -o "target/review/case-$name"
done
