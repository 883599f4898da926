#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/_review.
# The sources end in .go.txt, so that CI does not read them as part of the module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/_review/standin
rm -f target/_review/standin/*.go
for f in review/standin/*.go.txt; do
  cp "$f" "target/_review/standin/$(basename "${f%.txt}")"
done
go build -o target/_review/bin/ ./target/_review/standin
