#!/usr/bin/env bash
# Checks what rustfmt and clippy cannot: imports, licence notices, module files and file sizes.
# Prints each violation with its file and line, and exits with 1 if there is any.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly LINES_MAX=500
has_violations=0

report() {
    echo "$1"
    has_violations=1
}

while IFS= read -r file; do
    # One import per line; three groups in this order: std, external crates, own crate.
    while IFS= read -r violation; do
        report "$violation"
    done < <(awk -v file="$file" '
        function group(path) {
            if (path ~ /^(std|core|alloc)(::|;| )/) return 1
            if (path ~ /^(crate|super|self)(::|;| )/) return 3
            return 2
        }
        /^(pub )?use / {
            path = $0
            sub(/^(pub )?use /, "", path)
            if (path ~ /[{*]/) print file ":" NR ": import one item per line"
            is_pub = /^pub /
            own = group(path)
            if (previous_line == NR - 1 && previous_pub == is_pub && !is_pub && own != previous_group)
                print file ":" NR ": separate import groups by an empty line"
            if (seen && previous_pub == is_pub && !is_pub && own < previous_group)
                print file ":" NR ": order import groups: std, external, own crate"
            if (seen && !is_pub && previous_line == NR - 2 && own == previous_group && !previous_pub)
                print file ":" NR ": keep each import group together"
            seen = 1; previous_line = NR; previous_group = own; previous_pub = is_pub
        }
    ' "$file")
    if grep -qiE 'copyright|spdx|licensed under|all rights reserved' "$file"; then
        report "$file:1: remove the licence notice"
    fi
    if [ "$(basename "$file")" = mod.rs ]; then
        report "$file:1: name the module file after its folder"
    fi
    lines=$(wc -l <"$file")
    if [ "$lines" -gt "$LINES_MAX" ]; then
        report "$file:$lines: split the file; it has more than $LINES_MAX lines"
    fi
    case "$file" in
    */src/*)
        if ! head -n 1 "$file" | grep -q '^//!'; then
            report "$file:1: start with a //! comment on what the module does"
        fi
        ;;
    esac
done < <(git ls-files --cached --others --exclude-standard '*.rs')

exit "$has_violations"
