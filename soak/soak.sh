#!/bin/sh
# soak.sh BUILD SEEDS SEED JOBS: runs hf-soak with SEEDS seeds from SEED on, JOBS in parallel, and with every seed
# that failed before (found-seeds.txt). Fails if a seed fails.
build=$1
seeds=$2
seed=$3
jobs=$4
report=$(mktemp)
trap 'rm -f "$report"' EXIT
{
  sed -n 's/^\([0-9][0-9]*\) .*/\1/p' soak/found-seeds.txt
  seq "$seed" $((seed + seeds - 1))
} | sort -nu | xargs -P "$jobs" -I N sh -c \
  'if '"$build"'/hf-soak --seed=N; then echo "ok N"; else echo "not ok N"; fi' | tee "$report" | grep -v '^ok'
passed=$(grep -c '^ok' "$report")
failed=$(grep -c '^not ok' "$report")
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
