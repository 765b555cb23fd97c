#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -f target/host/host.jsa ] || [ ! -f target/review-2/QuietTenant.class ]; then
  echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec java -cp target/review-2 QuietTenant review/10/record.txt
