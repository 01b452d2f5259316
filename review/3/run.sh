#!/usr/bin/env bash
# See claim.txt. Run review/build.sh first; TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
LINK=1000 exec "$folder/../run_case.sh" cut-owner "$folder"
