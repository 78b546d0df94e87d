"""Packs a folder of installed packages into one executable file.

Usage: ``python tools/pack_binary.py FOLDER TARGET``. The file is a zip archive that Python runs
without a launcher that forks; the running program leaves no files on disk.
"""

from __future__ import annotations

import sys
import zipapp
from pathlib import Path

MAIN = '''"""Entry of the packed file: loads extension modules, then runs the command."""

import importlib.machinery
import importlib.util
import os
import sys
import tempfile
import zipfile

ARCHIVE = sys.path[0]


class PackedExtensions:
    """Finds extension modules in the archive.

    The loader needs a file to map. Each is written to the temporary folder, loaded and unlinked at
    once, so that nothing is left when the process ends in whatever way.
    """

    def __init__(self):
        self._archive = zipfile.ZipFile(ARCHIVE)
        self._names = {}
        for name in self._archive.namelist():
            if name.endswith(".so"):
                package, _, file = name.rpartition("/")
                module = ".".join(filter(None, [package.replace("/", "."), file.split(".")[0]]))
                self._names[module] = name

    def find_spec(self, fullname, path=None, target=None):
        name = self._names.get(fullname)
        if name is None:
            return None
        handle, file = tempfile.mkstemp(suffix=".so")
        with os.fdopen(handle, "wb") as out:
            out.write(self._archive.read(name))
        loader = UnlinkingLoader(fullname, file)
        return importlib.util.spec_from_file_location(fullname, file, loader=loader)


class UnlinkingLoader(importlib.machinery.ExtensionFileLoader):
    """Unlinks the file once it is mapped."""

    def create_module(self, spec):
        try:
            return super().create_module(spec)
        finally:
            os.unlink(self.path)


sys.meta_path.insert(0, PackedExtensions())

from mothstand.cli import main

main()
'''


def main(folder: Path, target: Path) -> None:
    """Pack `folder` into `target`."""
    (folder / "__main__.py").write_text(MAIN, encoding="utf-8")
    zipapp.create_archive(
        folder, target, interpreter="/usr/bin/env python3", compressed=True, filter=_is_wanted
    )
    target.chmod(0o755)


def _is_wanted(path: Path) -> bool:
    return "__pycache__" not in path.parts and path.parts[0] != "bin"


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
