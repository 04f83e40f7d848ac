#!/usr/bin/env bash
cd "$(dirname "$0")"
export PYTHONPATH=../lib PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
