#!/bin/sh
# Builds the stand-ins that the cases start. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/standin
