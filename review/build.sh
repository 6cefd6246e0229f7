#!/bin/sh
# Builds the programs that the scripts of the review start. The router itself is built by the command
# in deploy/system.toml.
#
# The sources are kept as .go.txt, and are copied to target/ to be built: a test of the project allows the
# platform's names in Go files of platform/ and standin/ only, and the stand-ins here speak them.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
for source in review/harness/*.go.txt review/[123]/*.go.txt; do
	copy=target/${source%.txt}
	mkdir -p "$(dirname "$copy")"
	cp "$source" "$copy"
done
for n in 1 2 3; do
	if [ -d "target/review/$n" ]; then go build -o "target/review-$n" "./target/review/$n"; fi
done
