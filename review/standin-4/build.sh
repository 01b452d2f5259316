#!/usr/bin/env bash
# Builds the stand-in of cases 11 and 13 to 15 into target/review/.
set -euo pipefail
cd "$(dirname "$0")/../.."
objects_folder=target/review/standin-4.d
mkdir -p "$objects_folder"
pids=()
objects=()
for source in review/standin-4/*.cc platform/standin/standin_store.cpp \
  packages/web/src/*.cpp packages/web/src/limits/*.cpp \
  packages/jobs/src/values.cpp; do
  object=$objects_folder/$(basename "$source").o
  objects+=("$object")
  g++ -std=c++20 -O1 -DBOOST_BEAST_USE_STD_STRING_VIEW -Ireview/standin-4 -Iplatform/standin \
    -Ipackages/web/include -Ipackages/web/src -Ipackages/jobs/include \
    -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "${objects[@]}" -lcrypto -pthread -o target/review/standin-4
