#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$(basename "$source" .cc)"
done
