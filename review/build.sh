#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the build of the deploy file. The
# stand-ins of platform/standin are part of the harness.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/harness ./review/harness
