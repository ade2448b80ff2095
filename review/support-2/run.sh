#!/bin/sh
# Runs the case of a folder: support-2/run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
case=$1
cd "$(dirname "$0")/../.." || exit 2
for program in target/bin/jasminehilld target/review-2/bin/scenario target/review-2/bin/standin_rows \
	target/review-2/bin/member_proxy target/review-2/bin/flood target/review-2/bin/prepare \
	target/review-2/bin/sync_members; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build deploy/system.toml, then run review/build-2.sh" >&2
		exit 2
	fi
done
RECORD=$case/record.txt
export RECORD
rm -f "$RECORD"
timeout -k 5 110 target/review-2/bin/scenario "$case/case.lua"
case $(tail -n 1 "$RECORD" 2>/dev/null) in
"RESULT broken") exit 1 ;;
"RESULT held") exit 0 ;;
*) exit 2 ;;
esac
