#!/bin/sh
# Builds the stand-ins of the cases. They are Python and use the libraries that the build of deploy/service.toml puts
# under target/deps, so there is nothing to compile; a missing library is noticed here.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD" python3 -c "import review.lib.deployment"
