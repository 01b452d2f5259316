#!/usr/bin/env bash
# Builds the stand-in of cases 11 to 14 into target/review-3. Run the build of
# the deploy file first: the cases start its program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
c++ -std=c++20 -O1 \
  -I platform/standin -I packages/web/include -I packages/web/src \
  -I packages/jobs/include \
  review/standin-3/main.cc platform/standin/standin_store.cpp \
  packages/web/src/client.cpp packages/web/src/server.cpp \
  packages/web/src/limits/connection_table.cpp \
  packages/web/src/limits/request_parser.cpp \
  packages/jobs/src/values.cpp packages/jobs/src/records.cpp \
  -o target/review-3/standin_3 -lcrypto -lpthread
