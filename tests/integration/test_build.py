"""Guards against a build that leaves out a program."""
import os
import pathlib

BIN = pathlib.Path(__file__).resolve().parents[2] / os.environ.get("BUILD_DIR", "build") / "bin"


def test_unit_test_programs_were_built():
    assert (BIN / "test_base").exists()
