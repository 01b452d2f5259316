#!/usr/bin/env bash
# Builds the stand-in of findings 11 to 15 into target/review-3. Run the build of
# the deploy file before the cases: they start its program. A case builds the
# stand-in itself if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p $out
objects=()
jobs=()
for source in review/standin-3/main.cc platform/standin/standin_store.cpp \
  packages/web/src/client.cpp packages/web/src/server.cpp \
  packages/web/src/limits/connection_table.cpp \
  packages/web/src/limits/request_parser.cpp \
  packages/jobs/src/values.cpp packages/jobs/src/records.cpp; do
  object=$out/$(basename "$source").o
  objects+=("$object")
  c++ -std=c++20 -O1 -Iplatform/standin -Ipackages/web/include \
    -Ipackages/web/src -Ipackages/jobs/include -c "$source" -o "$object" &
  jobs+=("$!")
done
for job in "${jobs[@]}"; do wait "$job"; done
c++ "${objects[@]}" -o $out/standin_3 -lcrypto -lpthread
echo "built $out/standin_3"

# The stand-in of cases 11 and 13 to 15 of the fourth review.
review/standin-4/build.sh
echo "built target/review/standin-4"
