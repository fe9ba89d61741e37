#!/bin/sh
# Regenerates proto/godwitspar.pb-c.[ch] from proto/godwitspar.proto.
set -eu
cd "$(dirname "$0")/../proto"
exec protoc-c --c_out=. godwitspar.proto
