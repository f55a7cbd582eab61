#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
# disruption is left out.
cd "$(dirname "$0")" && exec python3 case.py
