"""The identity of the sources in the first log line of a gateway."""

import hashlib
import subprocess
import tomllib
from pathlib import Path

import pytest

from acaciacove.platform import build_id
from acaciacove.platform.build_id import read_build_id

ROOT = Path(__file__).parents[1]
PACKAGE = "acaciacove"


def digest_command():
    """Return the part of the deploy file's build that writes the digest."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (command,) = [part for part in deploy["build"].split(" && ") if "sha256" in part]
    return command


@pytest.mark.parametrize("text", [None, b"\xff", b"0123456789abcdef\n"])
def test_a_missing_or_unreadable_build_id_is_none(text, tmp_path, monkeypatch):
    """Guards against a start that fails for lack of the file, as outside of target/."""
    path = tmp_path / "build_id.txt"
    if text is not None:
        path.write_bytes(text)
    monkeypatch.setattr(build_id, "BUILD_ID_PATH", path)
    assert read_build_id() in (None, "0123456789abcdef")


def test_the_build_id_changes_with_the_sources(tmp_path, monkeypatch):
    """Guards against a build of other sources that cannot be told from this one."""
    (tmp_path / PACKAGE / "platform").mkdir(parents=True)
    target = tmp_path / "target" / "deps" / PACKAGE / "platform"
    target.mkdir(parents=True)
    source = tmp_path / PACKAGE / "platform" / "one.py"
    monkeypatch.setattr(build_id, "BUILD_ID_PATH", target / "build_id.txt")
    found = []
    for text in ("a = 1\n", "a = 2\n"):
        source.write_text(text)
        subprocess.run(["sh", "-c", digest_command()], cwd=tmp_path, check=True)
        expected = hashlib.sha256(text.encode()).hexdigest()[:16]
        found.append((read_build_id(), expected))
    assert found[0] != found[1]
    assert all(read == expected for read, expected in found)
