#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/rig-3/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
