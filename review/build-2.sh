#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/case-*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-2/$name" "$source"
done
