#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3/. They need
# a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.cc; do
  g++ -std=c++20 -O1 -Wall -pthread "$source" \
    -o "target/review-3/$(basename "$source" .cc)"
done
