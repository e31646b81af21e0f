#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/standin-2
