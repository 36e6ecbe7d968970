"""Plots load and attainment over time for runs of the domain scenario."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

WIDTH_IN = 9.0
PANEL_HEIGHT_IN = 3.2
LOAD_COLOUR = "0.6"
ATTAINED_COLOUR = "tab:blue"
EVENT_COLOUR = "tab:red"
LABEL_HEIGHT = 0.07


def plot_domain(rows: list[dict[str, Any]], file: Path) -> None:
    """Write a plot with one panel per run of the domain scenario.

    Without such a run, no file is written.
    """
    runs = [row for row in rows if row["scenario"] == "domain" and row.get("series")]
    if not runs:
        return
    size = (WIDTH_IN, PANEL_HEIGHT_IN * len(runs))
    figure, panels = pyplot.subplots(len(runs), 1, figsize=size, squeeze=False)
    for panel, row in zip(panels[:, 0], runs, strict=True):
        _plot_run(panel, row)
    figure.tight_layout()
    figure.savefig(file, dpi=100)
    pyplot.close(figure)


def _plot_run(panel, row: dict[str, Any]) -> None:
    seconds = [at for at, _, _ in row["series"]]
    panel.bar(
        seconds,
        [offered for _, offered, _ in row["series"]],
        width=0.9,
        align="edge",
        color=LOAD_COLOUR,
        label="arrivals per second",
    )
    panel.set_ylabel("arrivals per second")
    panel.set_xlabel("time of arrival, s")
    panel.set_title(f"{row['deployment']}, {row['policy']}")
    share = panel.twinx()
    share.plot(
        [at + 0.5 for at in seconds],
        [attained / offered for _, offered, attained in row["series"]],
        color=ATTAINED_COLOUR,
        label="attainment",
    )
    share.set_ylim(0.0, 1.05)
    share.set_ylabel("attainment")
    for number, (at_s, text) in enumerate(row["events"]):
        share.axvline(at_s, color=EVENT_COLOUR, linewidth=1, linestyle=":")
        # Events of one plan are close in time; different heights keep labels apart.
        height = LABEL_HEIGHT * (number + 1)
        share.text(at_s, height, text, fontsize=7, color=EVENT_COLOUR)
    panel.legend(loc="lower left", fontsize=7)
    share.legend(loc="lower right", fontsize=7)
