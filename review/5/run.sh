#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../run-case.sh" "$0"
