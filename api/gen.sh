#!/usr/bin/env bash
# Regenerates the Go types from the OpenAPI files in this directory, into internal/api or the directory given.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=${1:-$root/internal/api}
cd "$root/api"
for spec in *.yaml; do
  name=${spec%.yaml}
  config=$(mktemp)
  cat >"$config" <<EOF
package: api
output: $out/$name.gen.go
generate: {models: true}
output-options: {skip-prune: true, yaml-tags: true, prefer-skip-optional-pointer: true, prefer-skip-optional-pointer-with-omitzero: false}
import-mapping: {common.yaml: "-", declaration.yaml: "-", engine.yaml: "-"}
EOF
  go tool -modfile=../tools/go.mod oapi-codegen -config "$config" "$spec"
  rm -f "$config"
done
