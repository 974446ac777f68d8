"""Taking the lead over: the records are read, and the recorded machines asked what is on them."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from oatport.clients.http import NoAnswer, jitter
from oatport.clients.state import StateClient
from oatport.clients.worker import WorkerClient
from oatport.control.model import Machine
from oatport.control.records import DARK_KEY, FLEET, LIVE, MODEL_KEY
from oatport.service.helm import Helm
from oatport.service.network import Network
from oatport.times import SECOND, steady

log = logging.getLogger(__name__)

INTRODUCTIONS = 3  # tries; after that its own report has to come


async def read_records(state: StateClient) -> tuple[list[dict[str, Any]], int]:
    """All that an earlier leader left: rows for `recovery.load`, and the revision to watch jobs from.

    Raises NoAnswer or Refused.
    """
    live, revision = await state.list_all(LIVE)
    fleet, _ = await state.list_all(FLEET)
    rows: list[dict[str, Any]] = []
    for key in (MODEL_KEY, DARK_KEY):
        found = await state.get(key)
        if found is not None:
            rows.append({"path": key, "value": found[0], "entryRev": found[1]})
    return rows + fleet + live, revision


def introduce_all(helm: Helm, net: Network) -> None:
    for machine in list(helm.cluster.machines.values()):
        if machine.address:
            helm.group.once("introduce", introduce(helm, net, machine))


async def introduce(helm: Helm, net: Network, machine: Machine) -> None:
    """Let a machine know the new token, and learn what is on it, without waiting for its report."""
    client = WorkerClient(net, machine.address)
    for _ in range(INTRODUCTIONS):
        if helm.over or machine.gone or machine.confirmed(helm.token):
            return
        try:
            report = await client.show()
            helm.heard(report, steady())
            if report.token < helm.token:
                helm.heard(await client.commands(helm.token, report.session, []), steady())
        except NoAnswer:
            await asyncio.sleep(jitter(SECOND))
