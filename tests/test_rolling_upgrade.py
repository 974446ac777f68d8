"""Tests of rolling upgrades: nodes of the production version, from the repository's history, beside current nodes."""

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


def run_without_logs(simulation: Simulation) -> RunResult:
    logging.disable(logging.CRITICAL)
    try:
        return simulation.run()
    finally:
        logging.disable(logging.NOTSET)


def test_the_production_build_has_its_own_classes_under_the_same_module_names() -> None:
    old = production()
    assert old.node.Node is not Node
    assert old.node.Node.__module__ == Node.__module__
    assert production_commit() in old.node.__file__
    assert not hasattr(old.node.Node, "_on_formats")


def test_an_unavailable_production_version_raises_an_error(tmp_path: Path) -> None:
    with pytest.raises(HistoryUnavailableError, match="names no version"):
        production_commit(tmp_path)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "service.toml").write_text('production = "0123"\n')
    with pytest.raises(HistoryUnavailableError, match="not in this repository's history"):
        unpack_production_tree(tmp_path)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_old_leader_starts_no_blocked_job(seed: int) -> None:
    """Guards against an old leader that starts a job before its dependencies are done.

    Users reach only the one new node while old nodes lead, and no new schema version is enabled yet.
    """
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
    simulation = Simulation(plan, seed)
    simulation.deployed.nodes.upgraded, simulation.balanced_nodes = {"n1"}, {"n1"}
    leader_names: set[str] = set()
    original_sample = simulation.leadership.sample

    def record_leaders() -> None:
        leader_names.update(
            name for name, node in simulation.deployed.nodes.nodes.items() if leader_of(node) is not None
        )
        original_sample()

    simulation.leadership.sample = record_leaders  # type: ignore[method-assign]
    result = run_without_logs(simulation)
    assert (result.violations, result.errors) == ([], [])
    assert leader_names & {"n0", "n2"}
    assert SCHEMA_VERSION_KEY not in simulation.deployed.store.items
    assert any(key.startswith("jobs/j-7") for key in simulation.deployed.store.items)


def test_a_rolling_upgrade_under_faults_keeps_all_invariants() -> None:
    pipelines = 0
    for seed in (1, 2):
        result = run_scenario(RunRequest(plan=rolling_upgrade_plan(seed)), seed)
        assert (result.violations, result.errors) == ([], [])
        pipelines += result.counts["pipelines"]
    assert pipelines > 0


def test_the_checker_detects_a_schema_version_enabled_before_all_nodes_read_it() -> None:
    request = RunRequest(scenario="rolling-upgrade", disabled_check="feature-gate")
    assert any("gate" in row for seed in range(1, 9) for row in run_scenario(request, seed).violations)
