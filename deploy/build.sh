#!/bin/sh
# Installs the libraries and the compiled package into target/deps, and packs the
# modules that the relay loads at its start into one file.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! -e target/libraries ] || [ deploy/requirements.txt -nt target/libraries ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch target/libraries
fi
rm -rf "$deps/lycheedeal"
cp -R src/lycheedeal "$deps/lycheedeal"
cp deploy/relay.py deploy/module_bundle.py deploy/pack_modules.py deploy/expand_data_classes.py "$deps"
python3 -m compileall -q "$deps/lycheedeal" "$deps/module_bundle.py"
python3 -S "$deps/pack_modules.py" "$deps/modules.bundle"
