#!/usr/bin/env bash
# Regenerates src/generated from proto/*.proto with pb-rs (cargo install pb-rs --version 0.10.0).
# With --check it writes elsewhere, compares, and exits 1 on a difference.
set -euo pipefail
cd "$(dirname "$0")"
generator="${PB_RS:-pb-rs}"
output="src/generated"
if [ "${1:-}" = "--check" ]; then
  output="$(mktemp -d)"
  trap 'rm -rf "$output"' EXIT
fi
for schema in proto/*.proto; do
  name="$(basename "$schema" .proto)"
  "$generator" --dont_use_cow --output "$output/$name.rs" "$schema"
  sed -i -e '/^#!\[/d' -e 's,^// Automatically generated.*,//! Generated from `proto/'"$name"'.proto` by `generate.sh`; do not edit.,' "$output/$name.rs"
  rustfmt --edition 2021 --config-path ../../rustfmt.toml "$output/$name.rs"
done
if [ "${1:-}" = "--check" ]; then
  for schema in proto/*.proto; do
    name="$(basename "$schema" .proto)"
    diff -u "src/generated/$name.rs" "$output/$name.rs"
  done
fi
