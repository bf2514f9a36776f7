"""Guards against figures on the capacity page that no longer match the committed slopes."""
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
CHECK = ROOT / "scripts/check-capacity"

PAGE = """<!-- figures -->
| quantity | formula | value | limit | mechanism |
|---|---|---|---|---|
| table | `row_bytes * 10` | {value} | 2,000 | none |
<!-- /figures -->"""
SLOPES = {
    "constants": {},
    "slopes": [{"name": "row_bytes", "bench": "b", "metric": "m", "value": 100, "unit": "B", "margin": 0.5}],
}


def run_check(*arguments):
    return subprocess.run([sys.executable, CHECK, *map(str, arguments)], capture_output=True, text=True)


def run_sample(folder, value, bench=None):
    (folder / "page.md").write_text(PAGE.format(value=value))
    (folder / "slopes.json").write_text(json.dumps(SLOPES))
    arguments = ["--page", folder / "page.md", "--slopes", folder / "slopes.json"]
    if bench is not None:
        (folder / "bench.jsonl").write_text(json.dumps({"bench": "b", "metric": "m", "value": bench}))
        arguments += ["--bench", folder / "bench.jsonl"]
    return run_check(*arguments).returncode


def test_page_agrees_with_committed_slopes():
    result = run_check()
    assert result.returncode == 0, result.stdout + result.stderr


def test_check_finds_drift_and_exceeded_limits(tmp_path):
    assert run_sample(tmp_path, "1,000 B") == 0
    assert run_sample(tmp_path, "1,100 B") == 1
    SLOPES["slopes"][0]["value"] = 300
    assert run_sample(tmp_path, "3,000 B") == 1
    assert run_sample(tmp_path, "3,000 B (over limit)") == 0
    SLOPES["slopes"][0]["value"] = 100


def test_check_compares_slopes_with_a_run(tmp_path):
    assert run_sample(tmp_path, "1,000 B", bench=140) == 0
    assert run_sample(tmp_path, "1,000 B", bench=160) == 1
