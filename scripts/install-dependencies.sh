#!/usr/bin/env bash
# Installs the build and test dependencies from the Debian 12 repositories. Run as root.
set -euo pipefail
packages=(
  cmake ninja-build ccache g++ git make python3
  clang-format clang-tidy
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libboost-system1.81-dev libboost-thread1.81-dev libboost-filesystem1.81-dev
  libcli11-dev libcereal-dev libyaml-cpp-dev libxxhash-dev prometheus-cpp-dev
  libgtest-dev libbenchmark-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "dependencies: all ${#packages[@]} packages are installed"
  exit 0
fi
echo "dependencies: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
echo "dependencies: done"
