#!/bin/sh
# Builds the stand-ins of the second review's cases into bin/. Run it from the root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/standin-2 && go build -o ../../bin/standin2 .)
