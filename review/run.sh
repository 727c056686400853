#!/usr/bin/env bash
# Plays one case: `run.sh CASE FOLDER`. Writes FOLDER/record.txt. With TROUBLE=0 in the
# environment, it plays the case without the disruption. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
case=$1
record=$(cd "$2" && pwd)/record.txt
standin=$root/target/review/standin
[ -x "$standin" ] && [ -x "$root/target/release/rosemarypitch" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 100 "$standin" "$case" "$root" "$folder" "$record" "${TROUBLE:-1}"
code=$?
if [ "$code" -gt 2 ]; then
  # It took too long or was ended, and its routers may still run.
  while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$folder/processes"
  code=2
fi
rm -rf "$folder"
exit "$code"
