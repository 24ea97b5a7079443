"""Counts the results of the test suites and compares failures with KNOWN-RED.txt."""

import json
import pathlib
import re
import sys


def known_failing_tests() -> set[str]:
    """Returns the tests that KNOWN-RED.txt lists, as Suite.Name."""
    path = pathlib.Path("KNOWN-RED.txt")
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def main() -> int:
    """Prints all failures and the totals; returns 1 if an unlisted test failed or no test passed."""
    passed, failed, known_failures = 0, [], []
    listed = known_failing_tests()
    for path in sorted(pathlib.Path(sys.argv[1]).glob("*.json")):
        for suite in json.loads(path.read_text())["testsuites"]:
            for case in suite["testsuite"]:
                name = f"{suite['name']}.{case['name']}"
                if not case.get("failures"):
                    passed += 1
                elif name in listed:
                    known_failures.append(name)
                else:
                    failed.append(name)
    for name in known_failures:
        print(f"failed, listed in KNOWN-RED.txt: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
