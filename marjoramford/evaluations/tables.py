"""Results rendered as plain text."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..standins.demos import DemoReport
from .packet_experiments import PacketMeasures


def render_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Renders rows under a header, in columns as wide as their content."""
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        for line in lines
    )


def render_zones(state: Mapping[str, Any]) -> str:
    """Renders the zones in an entry VM's state dump, including drained ones without servers."""
    servers = [server for server in state["backend_servers"] if not server["gone"]]
    drained = {drain["zone"]: drain for drain in state["drained_zones"]}
    rows = []
    for zone in sorted({server["zone"] for server in servers} | drained.keys()):
        in_zone = [server for server in servers if server["zone"] == zone]
        accepting = sum(server["accepts_flows"] for server in in_zone)
        drain = drained.get(zone)
        since = f"{drain['seconds']:.1f} s" if drain else "-"
        version = f"{drain['era']}.{drain['revision']}" if drain else "-"
        rows.append((zone, len(in_zone), accepting, since, version))
    return render_table(("zone", "servers", "accept flows", "drained for", "by version"), rows)


def render_demo(deployment: str, report: DemoReport) -> str:
    """Renders the report of a demo."""
    rows = [
        (kind, tally.offered, tally.whole, tally.not_run, tally.unknown)
        for kind, tally in report.kinds.items()
    ]
    imbalance = ", ".join(f"{name} {value:.2f}" for name, value in report.imbalance.items())
    facts = [
        ("changes made", "; ".join(report.events)),
        ("broken flows", report.broken_flows),
        ("answers or pieces of others", report.promises.foreign),
        ("non-idempotent requests run twice", report.promises.ran_twice),
        ("refused as not run, but run", report.promises.false_not_run),
        ("datagrams at a wrong server", report.misdirected),
        ("violated invariants", report.violations),
        ("imbalance (busiest server / mean)", imbalance),
        ("catalogue change in force everywhere", f"{report.spread_seconds:.2f} s"),
        ("flows reopened, by cause", dict(report.reopened) or "none"),
    ]
    width = max(len(name) for name, _ in facts)
    lines = [f"deployment {deployment}", ""]
    lines.append(render_table(("kind", "offered", "whole", "not run", "unknown"), rows))
    lines.append("")
    lines += [f"{name.ljust(width)}  {value}" for name, value in facts]
    verdict = "every promise was kept" if report.promises_kept else "A PROMISE WAS BROKEN"
    return "\n".join([*lines, "", verdict])


def render_packet_demo(measures: PacketMeasures) -> str:
    """Renders the results of a run of opaque flows."""
    rows = [
        (kind, tally.offered, tally.in_aim, tally.late, tally.failed)
        for kind, tally in measures.kinds.items()
    ]
    lines = [
        "",
        f"opaque flows on the emulated platform, {measures.seconds:.0f} virtual seconds",
        "",
    ]
    lines.append(render_table(("kind", "offered", "in aim", "late", "failed"), rows))
    lines += ["", "changes and failures"]
    lines += [f"  {fault}" for fault in measures.faults]
    broken = ", ".join(f"{rule} {n}" for rule, n in measures.findings.broken.items())
    lines += ["", f"rules broken: {broken}" if broken else "every promise was kept"]
    return "\n".join([*lines, *measures.findings.notes])
