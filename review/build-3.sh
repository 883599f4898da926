#!/bin/sh
# Builds the stand-in of the third review, which the scripts of cases 11 to 15 start, as
# target/_review-3/bin/standin. Run it in the root of the repository after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/_review-3/standin target/_review-3/bin
rm -f target/_review-3/standin/*.go
for f in review/standin-3/*.go.txt; do
	cp "$f" "target/_review-3/standin/$(basename "$f" .txt)"
done
go build -o target/_review-3/bin/standin ./target/_review-3/standin
