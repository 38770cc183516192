#!/usr/bin/env python3
"""Switches each mechanism of direct return off, by itself, and measures what callers lose.

Builds a scratch copy of the committed sources in which the program takes the mechanisms to switch
off from its environment, plays the days with the users' bench, and writes the results as JSON, as a
table and as a plot. A run that was interrupted continues where it stopped.

    scripts/ablation.py --bench PATH --out DIR --site PATH=DAY,... [--site ...] [--seeds -,11,12]

A day's seed `-` is its own one. The processor is not charged, so that a run mostly repeats.
"""

import argparse
import concurrent.futures
import json
import os
import re
import shutil
import subprocess
import sys
from html import escape
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MECHANISMS = ROOT / "crates/pomelorun-core/src/direct/mechanism.rs"
SETTINGS = "crates/pomelorun/src/direct/settings.rs"
DEPLOY = "deploy/system.toml"
VARIABLE = "POMELORUN_DISABLED"
# Mechanisms that may stand in for one another are switched off together as well.
PAIRS = ["ZonePreference,JoiningCredit", "OpeningRetry,RetransmitElsewhere", "ZoneProbe,SharedFailures"]
BASELINE = "none"


def mechanisms() -> list[str]:
    body = MECHANISMS.read_text().split("mechanisms! {")[1].split("\n}")[0]
    return re.findall(r"^    (\w+),$", body, re.M)


def prepare(scratch: Path) -> None:
    """Clones the repository into `scratch` and builds the program with switches."""
    if not scratch.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(scratch)], check=True)
    head = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, check=True, capture_output=True, text=True)
    subprocess.run(["git", "fetch", "-q", "origin"], cwd=scratch, check=True)
    subprocess.run(["git", "checkout", "-q", "-f", head.stdout.strip()], cwd=scratch, check=True)
    settings = scratch / SETTINGS
    text = settings.read_text()
    switch = f'std::env::var("{VARIABLE}").unwrap_or_default().parse().unwrap_or_default()'
    if text.count("Disabled::default()") != 1:
        sys.exit(f"{SETTINGS}: expected `Disabled::default()` once")
    settings.write_text(text.replace("Disabled::default()", switch))
    build = re.search(r'^build = "(.*)"', (scratch / DEPLOY).read_text(), re.M)
    subprocess.run(build[1].split(), cwd=scratch, check=True)


def set_switches(scratch: Path, names: str) -> None:
    deploy = (ROOT / DEPLOY).read_text().rstrip("\n")
    value = "" if names == BASELINE else names
    (scratch / DEPLOY).write_text(f'{deploy}\nenv = {{ {VARIABLE} = "{value}" }}\n')


def play(bench: str, scratch: Path, site: str, day: str, seed: str, why: str) -> dict:
    args = [bench, "run", os.path.relpath(site, scratch), day, "--no-cpu", "--why", why]
    args += [] if seed == "-" else ["--seed", seed]
    done = subprocess.run(args, cwd=scratch, capture_output=True, text=True)
    out = done.stdout + done.stderr
    snapshot = re.search(r"^snapshot (\w+)", out, re.M)
    if not snapshot:
        return {"error": out[-500:]}
    entry = next((scratch / "journal").glob(f"*-{snapshot[1]}.json"))
    found = json.loads(entry.read_text())["days"][0]
    windows = re.findall(r"^(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +\d+ ", out, re.M)
    price = {name: amount for name, amount, _ in found["prices"]}
    return {
        "snapshot": snapshot[1],
        "worth": found["G"],
        "served": found["served"],
        "late": sum(int(it[3]) for it in windows),
        "unserved": sum(int(it[4]) + int(it[5]) for it in windows),
        "rules": found["rules"],
        "connections": price["new connections to servers"],
        "cross_zone_gb": price["GB between zones"],
        "cpu_s": price["processor seconds"],
    }


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def summarize(results: dict, names: str, site: str) -> dict | None:
    """Compares the runs without `names` with those of the baseline on the same days and seeds."""
    pairs = []
    for key, it in results.items():
        its_names, its_site, day, seed = key.split("|")
        base = results.get("|".join([BASELINE, site, day, seed]))
        if its_names == names and its_site == site and base and "worth" in it and "worth" in base:
            pairs.append((it, base))
    if not pairs:
        return None
    delta = [a["worth"] - b["worth"] for a, b in pairs]
    return {
        "runs": len(pairs),
        "worth": mean(delta),
        "worth_min": min(delta),
        "worth_max": max(delta),
        "served": mean([a["served"] - b["served"] for a, b in pairs]),
        "late": sum(a["late"] - b["late"] for a, b in pairs),
        "unserved": sum(a["unserved"] - b["unserved"] for a, b in pairs),
        "connections": sum(a["connections"] - b["connections"] for a, b in pairs),
        "rules": sorted({rule for a, _ in pairs for rule in a["rules"]}),
    }


def table(results: dict, order: list[str], sites: list[str]) -> str:
    lines = [
        "| Switched off | Site | Runs | Worth (least, most) | Served | Late | Unserved | Connections | Rules broken |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for names in order:
        for site in sites:
            it = summarize(results, names, site)
            if it is None or names == BASELINE:
                continue
            lines.append(
                f"| {names.replace(',', ', ')} | {site} | {it['runs']} "
                f"| {it['worth']:+.4f} ({it['worth_min']:+.3f}, {it['worth_max']:+.3f}) | {it['served']:+.4f} "
                f"| {it['late']:+d} | {it['unserved']:+d} | {it['connections']:+.0f} | {', '.join(it['rules']) or '-'} |"
            )
    return "\n".join(lines) + "\n"


def plot(results: dict, order: list[str], sites: list[str]) -> str:
    """Returns a bar chart of the change of worth, one bar a mechanism and site, as SVG."""
    bars = [(n, s, summarize(results, n, s)) for n in order if n != BASELINE for s in sites]
    bars = [(n, s, it["worth"]) for n, s, it in bars if it]
    largest = max((abs(it[2]) for it in bars), default=0) or 1
    row, label, half = 16, 380, 260
    width, height = label + 2 * half + 60, row * (len(bars) + 2)
    zero = label + half
    rows = []
    for at, (names, site, worth) in enumerate(bars):
        length = abs(worth) / largest * half
        x, y = (zero - length if worth < 0 else zero), row * (at + 1)
        rows.append(f'<text x="{label - 6}" y="{y + 11}" text-anchor="end">{escape(names)}, {escape(site)}</text>')
        rows.append(f'<rect x="{x:.1f}" y="{y + 2}" width="{length:.1f}" height="{row - 4}" fill="#4477aa"/>')
        rows.append(f'<text x="{zero + half + 4}" y="{y + 11}">{worth:+.4f}</text>')
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" font-size="11">'
        f'<text x="{zero}" y="11" text-anchor="middle">change of mean worth when switched off</text>'
        f'<line x1="{zero}" y1="{row}" x2="{zero}" y2="{height}" stroke="black"/>{"".join(rows)}</svg>\n'
    )


def main() -> None:
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument("--bench", required=True, help="path of fleetbench")
    args.add_argument("--out", required=True, type=Path, help="directory of ablation.json, ablation.md and ablation.svg")
    args.add_argument("--site", required=True, action="append", help="site file, `=` and days, separated by commas")
    args.add_argument("--seeds", default="-", help="seeds, separated by commas; `-` is the day's own")
    args.add_argument("--only", help="switch these off only, separated by `;`")
    args.add_argument("--scratch", type=Path, default=ROOT / "target/ablation", help="directory of the scratch copy")
    args.add_argument("--jobs", type=int, default=3)
    args = args.parse_args()
    if not os.access(args.bench, os.X_OK):
        sys.exit(f"--bench {args.bench}: not a program")
    sites = {}
    for it in args.site:
        path, found, days = it.partition("=")
        if not found or not days or not Path(path).is_file():
            sys.exit(f"--site {it}: expected the path of a site file, `=` and days")
        sites[Path(path).stem] = (str(Path(path).resolve()), days.split(","))
    known = mechanisms()
    order = [BASELINE] + (args.only.split(";") if args.only else known + PAIRS)
    for name in {name for names in order[1:] for name in names.split(",")}:
        if name not in known:
            sys.exit(f"--only: unknown mechanism {name}; known are {', '.join(known)}")
    args.out.mkdir(parents=True, exist_ok=True)
    store = args.out / "ablation.json"
    results = json.loads(store.read_text()) if store.exists() else {}
    prepare(args.scratch)
    bench = str(Path(args.bench).resolve())
    for names in order:
        set_switches(args.scratch, names)
        todo = [
            (name, path, day, seed)
            for name, (path, days) in sites.items()
            for day in days
            for seed in args.seeds.split(",")
            if "worth" not in results.get(f"{names}|{name}|{day}|{seed}", {})
        ]
        with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            why = f"trial: ablation, switched off: {names}"
            runs = [(it, pool.submit(play, bench, args.scratch, it[1], it[2], it[3], why)) for it in todo]
            for (name, _, day, seed), run in runs:
                results[f"{names}|{name}|{day}|{seed}"] = run.result()
                part = store.with_suffix(".part")
                part.write_text(json.dumps(results, indent=1, sort_keys=True))
                part.replace(store)
        print(f"{order.index(names) + 1} of {len(order)}: {names}, {len(todo)} runs", flush=True)
        for kind in ["*.json", "incidents/*", "blobs/*"]:
            for entry in (args.scratch / "journal").glob(kind):
                target = ROOT / "journal" / entry.relative_to(args.scratch / "journal")
                if not target.exists():
                    shutil.copy2(entry, target)
    (args.out / "ablation.md").write_text(table(results, order, list(sites)))
    (args.out / "ablation.svg").write_text(plot(results, order, list(sites)))
    errors = [key for key, it in results.items() if "error" in it]
    if errors:
        sys.exit(f"{len(errors)} runs failed, for example {errors[0]}; run again to repeat them")


if __name__ == "__main__":
    main()
