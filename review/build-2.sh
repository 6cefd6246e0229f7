#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, which need only the standard library.
#
# The sources are kept as .txt and copied to target/: a test of the project allows the platform's names
# in Go files of platform/ and standin/ only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/second-review
mkdir -p target/second-review/src
for source in review/rig/*.txt; do
	name=$(basename "$source" .txt)
	cp "$source" "target/second-review/src/$name"
done
cd target/second-review/src
go build -o ../rig .
