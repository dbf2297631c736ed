#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The gateway itself is built before by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 deploy/go build -o review/_rig/rig ./review/_rig
