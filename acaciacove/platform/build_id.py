"""The identity of the sources that a deployed gateway was built from."""

from pathlib import Path

# Written beside this module by the build command of the deploy file.
BUILD_ID_PATH = Path(__file__).with_name("build_id.txt")
MAX_BUILD_ID_CHARS = 64


def read_build_id() -> str | None:
    """Return the digest of the sources at the build; None outside of a deployment."""
    try:
        text = BUILD_ID_PATH.read_text(encoding="ascii")
    except (OSError, UnicodeDecodeError):
        return None
    return text.strip()[:MAX_BUILD_ID_CHARS]
