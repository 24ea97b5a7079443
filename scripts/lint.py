#!/usr/bin/env python3
"""Runs clang-tidy on every translation unit, and skips those that passed before with the same preprocessed text.

The cache is outside the tree, in $AMARANTHLANE_LINT_CACHE or the user's cache folder. The cache key of a unit covers
its preprocessed text, its compile command, the version of clang-tidy and its configuration.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("AMARANTHLANE_LINT_CACHE",
                                    pathlib.Path.home() / ".cache" / "amaranthlane-lint"))


def preprocess(entry):
    arguments = shlex.split(entry["command"])
    arguments = [a for a in arguments if not a.endswith("ccache")]
    kept, skip_value = [], False
    for argument in arguments:
        if skip_value:
            skip_value = False
        elif argument in ("-o", "-MF", "-MT"):
            skip_value = True
        elif argument not in ("-c", "-MD"):
            kept.append(argument)
    # Keeps comments (-C), as they may hold NOLINT directives.
    return subprocess.run(kept + ["-E", "-C", "-P"], cwd=entry["directory"], capture_output=True, check=False).stdout


def check(entry, key_prefix):
    text = preprocess(entry)
    # Leaves the path of the checkout out of the key, so that all checkouts share the cache.
    command = re.sub(re.escape(str(ROOT)), "", entry["command"])
    key = hashlib.sha256(key_prefix + command.encode() + text).hexdigest()
    marker = CACHE / key
    if text and marker.exists():
        return entry["file"], True, "", True
    run = subprocess.run(["clang-tidy", "--quiet", "-p", "build", entry["file"]], cwd=ROOT, capture_output=True,
                         text=True, check=False)
    if run.returncode == 0 and text:
        marker.touch()
    return entry["file"], run.returncode == 0, run.stdout, False


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    key_prefix = version + (ROOT / ".clang-tidy").read_bytes()
    entries = {}
    for entry in json.loads((ROOT / "build" / "compile_commands.json").read_text()):
        if pathlib.Path(entry["file"]).is_relative_to(ROOT):
            entries[entry["file"]] = entry
    tracked = subprocess.run(["git", "ls-files", "*.cc"], cwd=ROOT, capture_output=True, text=True,
                             check=True).stdout.split()
    missing = [name for name in tracked if str(ROOT / name) not in entries]
    failed, cached = 0, 0
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("JOBS", os.cpu_count()))) as pool:
        for name, clean, output, hit in pool.map(lambda entry: check(entry, key_prefix), entries.values()):
            cached += hit
            if not clean:
                failed += 1
                print(f"lint: {name}\n{output}")
    for name in missing:
        print(f"lint: {name} is not part of any build target")
    print(f"lint: {len(entries)} units, {cached} skipped as unchanged, {failed} with findings")
    return 1 if failed or missing else 0


if __name__ == "__main__":
    sys.exit(main())
