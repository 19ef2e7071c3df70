#!/bin/sh
# Regenerates src/wire/gen; needs protoc (Debian's protobuf-compiler) and `npm ci`.
set -eu
cd "$(dirname "$0")/.."
protoc \
  --plugin=protoc-gen-ts_proto=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=src/wire/gen \
  --ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,importSuffix=.ts,forceLong=bigint,env=node,oneof=unions-value,outputJsonMethods=false,outputTypeRegistry=false,useExactTypes=false,unrecognizedEnum=false,removeEnumPrefix=true,stringEnums=false,enumsAsLiterals=true,initializeFieldsAsUndefined=false \
  -I proto proto/cicadahitch.proto proto/etcd.proto
