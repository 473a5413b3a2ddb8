#!/usr/bin/env bash
# Plays the case and writes review/2/record.txt: what was sent, answered and run. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/quillhatch ] || cargo build --release --locked --package quillhatch --bin quillhatch || exit 2
[ -x target/review/standins ] || bash review/build.sh || exit 2
timeout -k 5 110 target/review/standins 2 review/2
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
