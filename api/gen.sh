#!/usr/bin/env bash
# Generates Go types from the OpenAPI files: from those in this directory into internal/api, and from platform/wire.yaml
# into platform/wire. If a directory is given as argument, both trees are written below it instead.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=${1:-$root}

generate() { # generate SPEC PACKAGE OUTPUT [OUTPUT_OPTIONS]
  local config
  config=$(mktemp)
  cat >"$config" <<CONFIG
package: $2
output: $3
generate: {models: true}
output-options: {skip-prune: true, yaml-tags: true, prefer-skip-optional-pointer: true, prefer-skip-optional-pointer-with-omitzero: false${4:+, $4}}
import-mapping: {common.yaml: "-", declaration.yaml: "-", engine.yaml: "-"}
CONFIG
  go tool -modfile=../tools/go.mod oapi-codegen -config "$config" "$1"
  rm -f "$config"
}

mkdir -p "$out/internal/api" "$out/platform/wire"
cd "$root/api"
for spec in *.yaml; do
  generate "$spec" api "$out/internal/api/${spec%.yaml}.gen.go"
done
# A list of permissions that is missing and one that is empty mean different things; nullable types keep them apart.
generate ../platform/wire.yaml wire "$out/platform/wire/wire.gen.go" "nullable-type: true"
