#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/lib2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-2 -j4
