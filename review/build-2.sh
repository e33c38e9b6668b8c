#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the relays. Their
# stand-ins are Python modules, so this only checks that they compile here.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
for path in sorted(Path('review').glob('testbed.py')) + sorted(
    path for path in Path('review').glob('*/play.py') if int(path.parent.name) > 5
):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
CHECK
test -f target/deps/relay.py || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
