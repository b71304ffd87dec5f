#!/bin/sh
# Builds the stand-ins of the cases from 6 on, into review/rig-2/bin/.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p bin
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o bin/rig rig.cpp
