#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")"
protoc --cpp_out=. log.proto mesh.proto trace.proto stage.proto
