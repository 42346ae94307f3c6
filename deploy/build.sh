#!/bin/sh
# Builds what the roles run into target/deps: the pinned libraries, then the package.
# The libraries are installed again if they were for another machine, Python or list of versions.
set -eu

identity="$(python3 -c 'import platform, sys; print(platform.machine(), sys.executable, sys.version)')
$(cat requirements/site.txt)"

mkdir -p target
if [ "$(cat target/deps/.installed 2>/dev/null)" != "$identity" ]; then
  rm -rf target/deps target/deps.new
  python3 -m pip install -q --target target/deps.new -r requirements/site.txt
  # Valid whatever time of change the files get when the folder is copied to another machine.
  python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps.new
  printf '%s\n' "$identity" > target/deps.new/.installed
  mv target/deps.new target/deps
fi

rm -rf target/deps/bramleylead target/package.new
cp -r src/bramleylead target/package.new
mv target/package.new target/deps/bramleylead
python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps/bramleylead
