#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of the deploy file. It needs no
# network: the modules are those of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standins-3 ./review/standins-3
