#!/bin/sh
# Installs missing Debian packages listed in packages.txt.
set -eu
cd "$(dirname "$0")"
missing=$(xargs -n1 sh -c 'dpkg-query -W -f="\${Status}" "$0" 2>/dev/null | grep -q "ok installed" || echo "$0"' <packages.txt)
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing
