#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Settings files and logs of the system go to a temporary folder.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
folder="$here/$1"
if [ ! -d "$here/build" ] || [ ! -f "$here/../target/host/toucanlane-host.jar" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
work="$(mktemp -d)"
java -cp "$here/build" -Drecord="$folder/record.txt" -Dwork="$work" -Droot="$here/.." "$2" &
pid=$!
trap 'kill "$pid"' TERM INT
wait "$pid"
status=$?
if [ -n "${KEEP:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
case "$status" in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
