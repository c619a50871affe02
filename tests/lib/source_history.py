"""Take the source of earlier versions from the repository's history."""

import subprocess
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path

_REPOSITORY = Path(__file__).parents[2]
_DEPLOY_FILE = _REPOSITORY / "deploy" / "system.toml"
CURRENT_SOURCE = _REPOSITORY / "src"


def production_commit() -> str:
    """Return the version that runs when an upgrade begins."""
    return str(tomllib.loads(_DEPLOY_FILE.read_text())["production"])


def extract_source(commit: str, folder: Path) -> Path:
    """Write the source of a version to a folder, and return where packages are."""
    archive = subprocess.run(
        ["git", "-C", str(_REPOSITORY), "archive", commit, "src"],
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=BytesIO(archive)) as members:
        members.extractall(folder, filter="data")
    return folder / "src"
