#!/usr/bin/env bash
# Builds the stand-ins and the driver of the review's scripts into
# target/review. The daemon itself comes from the build of the deploy file. The
# sources are named .cc, so that scripts/lint and CI are as before; they are
# formatted by .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/standin/*.cc platform/standin/standin_store.cpp \
  packages/web/src/client.cpp packages/web/src/server.cpp \
  packages/jobs/src/values.cpp; do
  object=target/review/$(basename "$source").o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -Wpedantic -Wno-maybe-uninitialized \
    -DBOOST_BEAST_USE_STD_STRING_VIEW \
    -Ireview/standin -Iplatform/standin -Ipackages/web/include \
    -Ipackages/jobs/include -c "$source" -o "$object" &
done
for job in $(jobs -p); do wait "$job"; done
g++ "${objects[@]}" -o target/review/review_case -lcrypto -lpthread
echo "built target/review/review_case"
