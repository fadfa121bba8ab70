#!/bin/sh
# Runs all benchmarks of the programs in directory $1; writes the results to bench/results. Takes about half an hour.
build=$1
out=bench/results
mkdir -p $out
"$build/hf-slopes" | tee $out/slopes.csv
"$build/hf-speed" | tee $out/speed.txt
for user in association non-profit; do
  for experiment in policies overload faults retries; do
    "$build/hf-bench" --user=$user --experiment=$experiment --csv=$out/$user.csv | tee -a $out/$user.txt
  done
done
[ -x "$(command -v gnuplot)" ] && gnuplot -e "folder='$out'" bench/policies.gnuplot
exit 0
