#!/usr/bin/env bash
# Builds the cases 4 to 8 with their stand-ins. Needs the compiler and the
# packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/Case.cpp; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++17 -O1 -Wall -Wextra "$source" -pthread \
    -o "target/review-2/case-$number"
done
