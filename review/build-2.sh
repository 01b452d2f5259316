#!/usr/bin/env bash
# Builds the stand-in of the platform for the cases 6 to 10. Run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B build/review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review-2 --target platform_2 | tail -n 1
