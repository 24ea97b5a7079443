#!/usr/bin/env bash
# Installs the libraries and tools that the build, checks and tests need, only through the package manager.
set -euo pipefail
packages="g++ cmake ninja-build ccache lld clang-format clang-tidy git python3
  librestinio-dev libhttp-parser-dev libboost-dev nlohmann-json3-dev libyaml-cpp-dev libpopt-dev
  libeasyloggingpp-dev libopentracing-dev libfmt-dev libxxhash-dev libssl-dev
  libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev"
missing=$(dpkg-query -W -f='${Status} ${Package}\n' $packages 2>/dev/null |
  awk '$1 == "install" && $3 == "installed" {print $4}' | sort > /tmp/amaranthlane-installed.$$ || true
  printf '%s\n' $packages | sort | comm -23 - /tmp/amaranthlane-installed.$$)
rm -f /tmp/amaranthlane-installed.$$
if [ -n "$missing" ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing > /dev/null
fi
