#!/usr/bin/env bash
# Case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
# ENTRY=raw, number or nested gives the entry another form; see unreadable_entry.cpp.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play.sh" unreadable_entry "$folder"
