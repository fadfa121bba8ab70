#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="$(pkg-config --cflags --libs json-glib-1.0 glib-2.0)"
for source in review/*/case.c; do
  n=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Ireview/standins -o "target/review/case-$n" "$source" \
    review/standins/fleet.c review/standins/standins.c $flags -lpthread
done
