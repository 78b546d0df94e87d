#!/usr/bin/env bash
# Makes ledger_pb2.py, ledger_pb2.pyi and ledger_grpc.py from ledger.proto; they are committed.
set -eu
cd "$(dirname "$0")/../.."
python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
  mothstand/peers/ledger.proto
