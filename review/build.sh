#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/harness"
out=../../target/review
mkdir -p "$out"
for source in *.cc; do
  [ "$source" = stage.cc ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/${source%.cc}" "$source" stage.cc
done
