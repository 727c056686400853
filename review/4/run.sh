#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run.sh" server-leaving "$here"
