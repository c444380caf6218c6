#!/usr/bin/env bash
# Builds the stand-ins and test programs of the second review into
# target/review-2/, with the compiler that the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -pthread -Wall -Wextra -Wno-missing-field-initializers)
for part in harness case; do
  g++ "${flags[@]}" -c "review/standin-2/$part.cpp" -o "target/review-2/$part.o"
done
for source in review/standin-2/*.cpp; do
  test=$(basename "$source" .cpp)
  case $test in harness | case) continue ;; esac
  g++ "${flags[@]}" "$source" target/review-2/{case,harness}.o -o "target/review-2/$test"
done
echo "review: built"
