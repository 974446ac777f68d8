#!/bin/sh
# Builds what the cases from 4 on need beyond the build of the deploy file: the libraries of the extra `queues` of
# pyproject.toml, which the gateway and the broker stand-in import. The stand-ins themselves are Python modules.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/review-2 -nt pyproject.toml ]; then
    python3 -m pip install -q -U --target target/review-2 aio-pika==10.2.1 jinja2==3.1.6
fi
PYTHONPATH=.:target/deps:target/review-2 python3 -c 'import aio_pika, aiohttp, cbor2, jinja2, msgspec, pamqp'
