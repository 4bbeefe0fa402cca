#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripted cases into build/review-3. Each case is one
# program; the parts that they share are in review/common-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/play.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -I review/common-3 \
        "$source" -o "build/review-3/case-$number"
done
