#!/usr/bin/env bash
# Runs the case; with TROUBLE=0, without its disruption.
export TROUBLE=${TROUBLE:-1}
. "$(dirname "$0")/../support/run_case"
