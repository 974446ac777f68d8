"""The version in production itself, from the repository's history, beside this one."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from oatport.control.storage.keys import SCHEMA_VERSION_KEY
from oatport.service.node import Node
from oatport.simulation.fault_plan import Fault, Plan
from oatport.simulation.production_build import (
    HistoryUnavailableError,
    leader_of,
    production,
    production_commit,
    unpack_production_tree,
)
from oatport.simulation.runner import RunRequest, run_scenario
from oatport.simulation.scenario_generator import rolling_upgrade_plan
from oatport.simulation.simulation import RunResult, Simulation


def quiet(world: Simulation) -> RunResult:
    logging.disable(logging.CRITICAL)
    try:
        return world.run()
    finally:
        logging.disable(logging.NOTSET)


def test_it_is_another_version_of_the_same_names() -> None:
    old = production()
    assert old.node.Node is not Node
    assert old.node.Node.__module__ == Node.__module__
    assert production_commit() in old.node.__file__
    assert not hasattr(old.node.Node, "_on_formats")


def test_without_history_there_is_one_line_and_no_run(tmp_path: Path) -> None:
    with pytest.raises(HistoryUnavailableError, match="names no version"):
        production_commit(tmp_path)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "service.toml").write_text('production = "0123"\n')
    with pytest.raises(HistoryUnavailableError, match="not in this repository's history"):
        unpack_production_tree(tmp_path)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_old_leader_starts_no_job_that_waits(seed: int) -> None:
    """Users reach the one new node alone, old ones lead: what waits is safe before anything is switched on."""
    plan = Plan(
        (
            Fault("node_crash", 8.0, 4.0, node="n1"),
            Fault("cancel_needed", 25.0, count=3),
            Fault("node_crash", 40.0, 2.0),
        ),
        70.0,
        3,
        20,
        10.0,
        12.0,
        12.0,
        old_nodes=True,
    )
    world = Simulation(plan, seed)
    world.deployed.nodes.upgraded, world.users_reach = {"n1"}, {"n1"}
    led: set[str] = set()
    sample = world.leadership.sample

    def watch() -> None:
        led.update(name for name, node in world.deployed.nodes.nodes.items() if leader_of(node) is not None)
        sample()

    world.leadership.sample = watch  # type: ignore[method-assign]
    found = quiet(world)
    assert (found.violations, found.errors) == ([], [])
    assert led & {"n0", "n2"}
    assert SCHEMA_VERSION_KEY not in world.deployed.store.items
    assert any(key.startswith("jobs/j-7") for key in world.deployed.store.items)


def test_an_upgrade_among_troubles() -> None:
    pipelines = 0
    for seed in (1, 2):
        found = run_scenario(RunRequest(plan=rolling_upgrade_plan(seed)), seed)
        assert (found.violations, found.errors) == ([], [])
        pipelines += found.counts["pipelines"]
    assert pipelines > 0


def test_a_new_schema_version_before_all_nodes_read_it_is_noticed() -> None:
    asked = RunRequest(scenario="rolling-upgrade", disabled_check="feature-gate")
    assert any("gate" in row for seed in range(1, 9) for row in run_scenario(asked, seed).violations)
