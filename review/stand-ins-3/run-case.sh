#!/usr/bin/env bash
# Runs the stand-in $2 for the case in the folder $1, with a temporary folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/jacinthroute ] && [ -x "target/review-3/$2" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "target/review-3/$2" "$PWD" "$folder" "$case_folder/record.txt"
result=$?
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit "$result"
