"""Renders the results of a night as one HTML file with figures and plots, using jinja2 and matplotlib."""

from __future__ import annotations

import io
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
from markupsafe import Markup
from matplotlib import pyplot
from matplotlib.figure import Figure

from oatport.lab.window_workload import NightWorkload
from oatport.lab.windows import TICK_INTERVAL, ScheduleOutcome
from oatport.times import SECOND

TEMPLATE = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>oatport: execution windows, seed {{ result.seed }}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 64rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse } td, th { padding: .3rem .9rem; border-bottom: 1px solid #ddd; text-align: right }
th:first-child, td:first-child { text-align: left } svg { width: 100%; height: auto }
.note { color: #666 }
</style></head><body>
<h1>Execution windows for one night</h1>
<p>{{ result.jobs }} jobs on {{ result.capacity_cpus|round|int }} CPUs, seed {{ result.seed }}, fault
<b>{{ result.fault }}</b>. In virtual time; the jobs and prices are generated, not recorded.</p>
<table>
<tr><th></th><th>immediate</th><th>with windows</th><th>lower bound</th></tr>
<tr><td>deadlines met</td>{% for column in columns %}<td>{{ result.deadlines_met[column] }}</td>{% endfor %}</tr>
<tr><td>cost (CPU-hours times price)</td>{% for column in columns %}
<td>{{ "%.0f"|format(result.cost[column]) }}</td>{% endfor %}</tr>
<tr><td>cost relative to the lower bound</td>{% for column in columns %}
<td>{{ "%.2f"|format(result.cost[column] / result.cost.bound) }}</td>{% endfor %}</tr>
</table>
<p class="note">Released after the latest safe start: {{ result.released_late }}. Replans: {{ result.replans }}.
Planning, 99th percentile: {{ result.plan_ms_p99 }} ms. The lower bound assumes that all prices and run times are known
in advance and that work is divisible: no schedule can reach it.</p>
{% for title, svg in plots %}<h2>{{ title }}</h2>{{ svg }}{% endfor %}
</body></html>
""")


def _render_svg(figure: Figure) -> Any:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = out.getvalue()
    return Markup(text[text.index("<svg") :])


def _plot_timeline(workload: NightWorkload, immediate: ScheduleOutcome, windows: ScheduleOutcome) -> Any:
    figure, (above, middle, below) = pyplot.subplots(3, 1, figsize=(10, 8), sharex=True, layout="constrained")
    above.step(range(len(workload.prices)), workload.prices, where="post", color="#b3541e")
    above.set_ylabel("price")
    for outcome, name, colour in ((immediate, "immediate", "#999999"), (windows, "with windows", "#1f6f8b")):
        hours = [number * TICK_INTERVAL / (3600 * SECOND) for number in range(len(outcome.cpus_in_use))]
        middle.fill_between(hours, outcome.cpus_in_use, alpha=0.5, label=name, color=colour, linewidth=0)
    middle.axhline(workload.capacity, color="#333333", linewidth=0.8)
    middle.set_ylabel("CPUs in use")
    middle.legend()
    below.plot(
        [n * TICK_INTERVAL / (3600 * SECOND) for n in range(len(windows.tasks_held))],
        windows.tasks_held,
        color="#1f6f8b",
    )
    below.set_ylabel("tasks held")
    below.set_xlabel("hours since 20:00")
    return _render_svg(figure)


def _plot_slack(immediate: ScheduleOutcome, windows: ScheduleOutcome) -> Any:
    figure, axes = pyplot.subplots(figsize=(10, 3), layout="constrained")
    both = [list(outcome.slack_hours.values()) for outcome in (immediate, windows)]
    axes.hist(both, bins=40, label=["immediate", "with windows"], color=["#999999", "#1f6f8b"])
    axes.axvline(0, color="#b3541e")
    axes.set_xlabel("hours between a job's end and its deadline (right of 0: in time)")
    axes.set_ylabel("jobs")
    axes.legend()
    return _render_svg(figure)


def write_report(
    path: str, workload: NightWorkload, immediate: ScheduleOutcome, windows: ScheduleOutcome, result: dict[str, Any]
) -> None:
    """Writes the report on a night to a file. Raises OSError if the file can't be written."""
    matplotlib.rcParams["svg.hashsalt"] = "oatport"  # constant, so that the same seed gives the same page
    plots = [
        ("Price, CPUs in use and held tasks", _plot_timeline(workload, immediate, windows)),
        ("Jobs by slack", _plot_slack(immediate, windows)),
    ]
    html = TEMPLATE.render(result=result, columns=("immediate", "windows", "bound"), plots=plots)
    with open(path, "w", encoding="utf-8") as out:
        out.write(html)
