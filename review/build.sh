#!/usr/bin/env bash
# Builds the stand-ins, the cases and the further findings of the review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandins "$1" -o "bin/$2"; }
for program in store engine; do compile "standins/$program.cc" "$program"; done
for source in [0-9]/case.cc more/*/case.cc; do
  compile "$source" "case-$(basename "$(dirname "$source")")"
done
