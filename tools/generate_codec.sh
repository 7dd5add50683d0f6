#!/usr/bin/env bash
# Generates src/lib/wire/generated from proto/. Requires protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/lib/wire/generated
rm -rf "$out"
mkdir -p "$out"
protoc --plugin=node_modules/.bin/protoc-gen-ts_proto --ts_proto_out="$out" \
  --ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,forceLong=number,importSuffix=.js,env=node,outputJsonMethods=false,outputPartialMethods=false,unrecognizedEnum=false,useOptionals=none,enumsAsLiterals=false,removeEnumPrefix=true \
  -I proto proto/foxtailbay.proto
