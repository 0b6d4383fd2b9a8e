#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../world-2/run.sh" "$here"
