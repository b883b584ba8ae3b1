#!/usr/bin/env bash
# Runs every test of the workspace. Arguments are passed to go test.
set -euo pipefail
cd "$(dirname "$0")"
go test -race "$@" ./... ./core/...
