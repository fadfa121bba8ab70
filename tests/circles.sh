#!/bin/sh
# Finds source files of src/ and platform/ that call one another in a circle, by
# the symbols of their objects. Calls listed in CALLS_BACK are left out: they are
# known to close a circle and are to go. Prints a circle and fails if there is
# one, also if a listed call no longer exists.
# Usage: circles.sh BUILD, from the project's root.
build=$1
edges=$(mktemp)
kept=$(mktemp)
trap 'rm -f "$edges" "$kept"' EXIT

# Caller and callee of each known call back.
CALLS_BACK="
hf-slots hf-calls
hf-claims hf-calls
hf-claim-shards hf-claims
hf-directory-sync hf-directory
hf-proxy hf-loop
hf-exchange hf-loop
hf-adapter hf-loop
hf-peer-socket hf-loop
hf-platform hf-loop
"

# One line a call between two files: caller, callee.
nm -A "$build"/libhickoryfield.a.p/*.o "$build"/libhf-shell.a.p/*.o | awk '
  {
    split($1, place, ":")
    file = place[1]
    sub(/.*(src|platform)_/, "", file)
    sub(/\.c\.o$/, "", file)
  }
  $(NF - 1) == "U" { used[file, $NF] = 1 }
  $(NF - 1) ~ /^[TDBR]$/ { defined[$NF] = file }
  END {
    for (key in used)
      {
        split(key, part, SUBSEP)
        callee = defined[part[2]]
        if (callee != "" && callee != part[1])
          print part[1], callee
      }
  }' | sort -u >"$edges"

status=0
echo "$CALLS_BACK" | grep . >"$kept"
while read -r call; do
  grep -qx "$call" "$edges" && continue
  echo "no such call any more, to be taken off the list: $call"
  status=1
done <"$kept"
# tsort prints the members of each circle on standard error.
if ! circles=$(grep -vxFf "$kept" "$edges" | tsort 2>&1 >/dev/null); then
  echo "$circles" | sed 's/^tsort: //'
  status=1
fi
exit $status
