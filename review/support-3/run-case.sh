#!/bin/sh
# Runs the scenario of a case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$1
RESULT=$(mktemp) || exit 2
trap 'rm -f "$RESULT"' EXIT
export RESULT RECORD="$folder/record.txt" JH_BIN="${JH_BIN:-target/bin}"
export LUA_PATH="review/support-3/?.lua;;"
timeout 115 "$JH_BIN/scenario" "$folder/case.lua"
case $(cat "$RESULT") in
broken) exit 1 ;;
held) exit 0 ;;
*) exit 2 ;;
esac
