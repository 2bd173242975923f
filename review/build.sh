#!/usr/bin/env bash
# Builds the programs that the cases start, after the build of the deploy file:
# the stand-ins of the platform, the servers and the consumers. Each goes beside
# its case's script. Needs only the packages that the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
shared="review/1/Scene.cpp Tests/Soak/Process.cpp
  StandIns/ObjectStore/MemoryStore.cpp StandIns/ObjectStore/StoreListener.cpp"
libraries="target/Libraries/Edge/libedge.a target/Libraries/Json/libjson.a
  target/Libraries/Core/libcore.a"
for case in 1 2 3; do
  rm -f "review/$case/scenario"
  g++ -std=c++17 -O1 -Wall -Wextra -I. "review/$case/Scenario.cpp" $shared \
    $libraries -llog4cxx -lcrypto -lpthread -o "review/$case/scenario" &
done
wait
for case in 1 2 3; do
  [ -x "review/$case/scenario" ]
done
