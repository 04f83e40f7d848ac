#!/usr/bin/env bash
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=../lib PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
