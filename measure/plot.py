"""Writes the results of measure/run as bar charts in SVG."""

import os

# Pixels: width of a chart, height of a bar, left edge and distance of bars.
WIDTH, BAR, LEFT, GAP = 760, 14, 230, 6
COLOURS = {"standard": "#2b6cb0", "baseline": "#c05621"}


def bars(title, unit, rows):
    """Returns a chart with one bar per row, drawn from zero.

    rows: (label, mode, value); None is shown as "-".
    """
    largest = max([value for _, _, value in rows if value is not None] or [1])
    largest = largest or 1
    height = 50 + len(rows) * (BAR + GAP)
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{height}" font-family="sans-serif" font-size="11">',
           f'<text x="8" y="20" font-size="14">{title} ({unit})</text>']
    y = 36
    for label, mode, value in rows:
        length = (WIDTH - LEFT - 70) * (value or 0) / largest
        text = "-" if value is None else f"{value:.3g}"
        out.append(f'<text x="{LEFT - 6}" y="{y + 11}" '
                   f'text-anchor="end">{label} {mode}</text>')
        out.append(f'<rect x="{LEFT}" y="{y}" width="{length:.1f}" '
                   f'height="{BAR}" fill="{COLOURS.get(mode, "#718096")}"/>')
        out.append(f'<text x="{LEFT + length + 4:.1f}" y="{y + 11}">'
                   f'{text}</text>')
        y += BAR + GAP
    return "\n".join(out + ["</svg>"]) + "\n"


CHARTS = {
    "response-p99": ("99th percentile of response time over the ideal",
                     "ratio", lambda r: r["jobs"]["over_central"]["p99"]),
    "complete": ("Completed jobs", "%", lambda r: 100
                 * r["jobs"]["complete"] / max(1, r["jobs"]["submitted"])),
    "goodput": ("Slot time spent on completed jobs", "%",
                lambda r: 100 * r["goodput"]),
    "wasted": ("Messages without effect", "% of starts and results",
               lambda r: 100 * (r["messages"]["wasted_share"] or 0)),
}


def write_all(directory, results):
    """Writes one file per deployment and chart."""
    for deployment in sorted({r["deployment"] for r in results}):
        group = [r for r in results if r["deployment"] == deployment]
        for name, (title, unit, value) in CHARTS.items():
            rows = [(r["cell"], r["mode"], value(r)) for r in group]
            path = os.path.join(directory, f"{deployment}-{name}.svg")
            with open(path, "w", encoding="utf-8") as file:
                file.write(bars(f"{deployment}: {title}", unit, rows))
