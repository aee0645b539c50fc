#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
. "$(dirname "$0")/../lib/run.sh"
