#!/bin/sh
# Builds the programs of the cases 6 to 10 and the stand-ins that they use, into target/review-2/.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2 || exit 1
for n in 6 7 8 9 10; do
  if [ -f "review/$n/case.c" ]; then
    gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation -pthread -o "target/review-2/$n" \
      "review/$n/case.c" review/standins-2/standins.c || exit 1
  fi
done
