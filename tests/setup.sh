#!/bin/sh
# Installs the Debian packages in the arguments that are not installed yet.
missing=""
for package in "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq || exit 1
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
