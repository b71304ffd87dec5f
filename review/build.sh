#!/bin/sh
# Builds the stand-ins that the scripts start, into target/review/. Needs what the deploy file's
# build needs: g++ and nlohmann-json3-dev.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -pthread -o target/review/rig review/rig/main.cpp
