#!/usr/bin/env bash
# Installs cmake, gcc and make where they are missing; building nng needs them.
set -euo pipefail

missing=()
command -v cmake >/dev/null || missing+=(cmake)
command -v cc >/dev/null || missing+=(gcc)
command -v make >/dev/null || missing+=(make)
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing ${missing[*]}: required to build nng"
as_root=()
if [ "$(id -u)" -ne 0 ]; then
    as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq "${missing[@]}"
