#!/bin/sh
# Builds every stand-in that a script of the review starts.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/harness ./review/harness
