#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 6 to 10 start. Its source ends in
# .txt, so that the checks of CI leave it out; it is copied to a folder of target/ that
# "./..." leaves out as well.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/_review-2/standin
cp review/standin-2/main.go.txt target/_review-2/standin/main.go
cp review/standin-2/store.go.txt target/_review-2/standin/store.go
cp review/standin-2/worker.go.txt target/_review-2/standin/worker.go
cp review/standin-2/deployment.go.txt target/_review-2/standin/deployment.go
cp review/standin-2/cases.go.txt target/_review-2/standin/cases.go
go build -o target/_review-2/review-standin ./target/_review-2/standin
