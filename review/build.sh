#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/*.cpp; do
    ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -o "bin/$(basename "$source" .cpp)" "$source"
done
