#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. They need a
# C++20 compiler and nothing else. Their files end in .cpp and .hpp, so that
# meta/lint, and with it CI, leaves them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standin \
  review/standin/*.cpp review/standin/cases/*.cpp
