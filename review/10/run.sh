#!/usr/bin/env bash
# Plays the case attempts-limit on loopback; see claim.txt. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/chicorytray-platform-entry target/chicorytray-platform-agent target/_review-2/review-standin; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
done
exec target/_review-2/review-standin attempts-limit review/10/record.txt
