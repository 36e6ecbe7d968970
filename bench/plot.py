"""Plot of load and attainment over time in the domain scenario."""

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


def plot_domain(rows: list[dict[str, Any]], file: Path) -> None:
    """Write one panel per run of the domain scenario; none if there is no such run."""
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
    for at_s, text in row["events"]:
        share.axvline(at_s, color=EVENT_COLOUR, linewidth=1, linestyle=":")
        share.text(at_s, 0.03, text, rotation=90, fontsize=7, color=EVENT_COLOUR)
    panel.legend(loc="upper left", fontsize=7)
    share.legend(loc="upper right", fontsize=7)
