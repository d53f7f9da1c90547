#!/usr/bin/env bash
# Plays the case with the program and the stand-ins that were built before. TROUBLE=0 plays it without
# the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/jacinthladder ] || [ ! -x target/review-stand ]; then
  echo "build first: the build of the deploy file, then review/build.sh" >&2
  exit 2
fi
exec target/review-stand split review/5
