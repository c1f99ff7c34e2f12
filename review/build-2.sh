#!/bin/bash
# Builds the programs of cases 4 to 7 into target/review-2/.  They need a C++20 compiler and nothing
# else: all stand-ins (store, engines, callers, the platform) are in review/standins-2/.
set -e
cd "$(dirname "$0")/standins-2"
out=../../target/review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -pthread"
for part in net store deployment model-engine machine-gate; do
  g++ $flags -c "$part.cc" -o "$out/$part.o"
done
for case in late-answer lost-machine slow-reader large-requests; do
  g++ $flags "$case.cc" "$out"/{net,store,deployment,model-engine,machine-gate}.o -o "$out/$case"
done
