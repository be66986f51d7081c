"""Digest of the sources that a process runs, by which builds are told apart."""

import hashlib
from pathlib import Path

__all__ = ["compute_digest"]

#: Number of hexadecimal digits of a digest that logs show.
DIGEST_DIGITS = 12


def compute_digest(folder: Path | None = None) -> str:
    """Return a digest of the names and contents of a package's source files.

    Args:
        folder: Folder of the package, or None for the package of this module.

    Returns:
        The first hexadecimal digits of a SHA-256 digest, or an empty text if the
        package has no source files, as in an archive.
    """
    folder = folder or Path(__file__).resolve().parent
    paths = sorted(folder.rglob("*.py"))
    if not paths:
        return ""
    digest = hashlib.sha256()
    for path in paths:
        content = path.read_bytes()
        name = path.relative_to(folder).as_posix()
        digest.update(f"{name}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()[:DIGEST_DIGITS]
