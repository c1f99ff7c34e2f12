#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc [0-9]*/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cc)
  [ "$name" = case ] && name=case-$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandins "$source" -o "bin/$name"
done
