# Plots the weighted p99 over the load, one line per policy, from the results of the association.
set datafile separator ","
set terminal svg size 800,500
set output folder."/policies.svg"
set xlabel "load, share of all slots"
set ylabel "weighted p99, ms"
set key left top
file = folder."/association.csv"
plot for [p in "round-robin two-choices two-choices-shared grants"] \
  "<grep ',policies,".p.",17,' ".file using 5:13 with linespoints title p, \
  "<grep ',policies,grants,1,' ".file using 5:13 with linespoints title "one entry"
