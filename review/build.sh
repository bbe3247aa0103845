#!/bin/sh
# The stand-ins are plain JavaScript modules, so there is nothing to compile: checks that each of
# them and each case can be parsed, and that the project's own program was built.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
  node --check "$file" || exit 1
done
test -f target/flamingocourse.cjs || {
  echo 'run the build of deploy/system.toml first' >&2
  exit 1
}
