"""Checksummed frames and durable file operations.

A frame is a body with a header of 16 bytes: four little-endian 32-bit numbers, the
magic, the body length, the CRC-32 of the body and the CRC-32 of these three fields.
"""

import os
import struct
import zlib
from pathlib import Path

__all__ = [
    "FRAME_HEADER",
    "truncate_file",
    "is_torn",
    "pack_header",
    "read_frame",
    "sync_folder",
    "write_atomically",
]

FRAME_MAGIC = 0x62626C79
FRAME_HEADER = struct.Struct("<IIII")
MAX_FRAME_BYTES = 256 * 1024 * 1024


def pack_header(body: bytes) -> bytes:
    """Return the frame header for `body`."""
    fields = struct.pack("<III", FRAME_MAGIC, len(body), zlib.crc32(body))
    return fields + struct.pack("<I", zlib.crc32(fields))


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the length and CRC of a frame's body, or None if the header is invalid."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    magic, length, body_crc, header_crc = FRAME_HEADER.unpack_from(data, offset)
    fields = data[offset : offset + FRAME_HEADER.size - 4]
    if magic != FRAME_MAGIC or zlib.crc32(fields) != header_crc:
        return None
    if length > MAX_FRAME_BYTES:
        return None
    return length, body_crc


def read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at `offset`, or None if the frame is invalid."""
    header = _read_header(data, offset)
    if header is None:
        return None
    length, body_crc = header
    start = offset + FRAME_HEADER.size
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_crc:
        return None
    return body


def is_torn(data: bytes, offset: int) -> bool:
    """Return whether the invalid frame at `offset` is a torn write.

    A write that a crash interrupted is the last one in the file: its header is
    incomplete, its body extends to or beyond the end of the file, or the rest of the
    file is zeros that were allocated but never written.
    """
    if len(data) - offset < FRAME_HEADER.size:
        return True
    if not any(data[offset:]):
        return True
    header = _read_header(data, offset)
    return header is not None and offset + FRAME_HEADER.size + header[0] >= len(data)


def truncate_file(path: Path, size: int) -> None:
    """Truncate a file to `size` bytes and sync it."""
    with open(path, "r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def write_atomically(path: Path, data: bytes) -> None:
    """Write a temporary file, sync it and rename it to `path`."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that created, renamed and deleted files are durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
