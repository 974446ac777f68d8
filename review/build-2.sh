#!/bin/sh
# Builds what the cases from 4 on need beyond the build of the deploy file: the libraries of the extra `queues` of
# pyproject.toml, which the gateway and the broker stand-in import. The stand-ins themselves are Python modules.
# Without a package registry the same libraries are taken from .venv (requirements-dev.txt), if it has them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps:target/review-2
stand_ins='import aio_pika, jinja2, pamqp, emulators.amqp_broker, emulators.price_feed, emulators.serve, review.harness.amqp'
python3 -c "$stand_ins" 2>/dev/null && exit 0
mkdir -p target
if ! python3 -m pip install -q -U --target target/review-2 aio-pika==10.2.1 jinja2==3.1.6; then
    rm -rf target/review-2
    ln -s "$(.venv/bin/python -c 'import sysconfig; print(sysconfig.get_path("purelib"))')" target/review-2
fi
python3 -c "$stand_ins"
