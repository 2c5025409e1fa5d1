#!/bin/sh
# Builds what the scripts of the second review start besides the system itself.
# The stand-ins in lib2 need only the standard library, so that checking that
# they compile is all there is to do.
cd "$(dirname "$0")" || exit 1
for file in lib2/*.py [0-9]*/case.py; do
    case "$file" in
    [1-5]/*) continue ;;
    esac
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
