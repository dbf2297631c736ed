#!/bin/sh
# Builds the stand-ins of the second review's scripts. The gateway itself is built by the line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 deploy/go build -o target/review2-rig ./review/_rig2
