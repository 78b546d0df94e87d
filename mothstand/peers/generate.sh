#!/usr/bin/env bash
# Makes the *_pb2.py, *_pb2.pyi and *_grpc.py of all .proto files; they are committed.
set -eu
cd "$(dirname "$0")/../.."
python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
  mothstand/peers/ledger.proto mothstand/peers/lending.proto mothstand/peers/prefill.proto
