"""Runs one measure, or all of them, each as a process of its own."""

import pathlib
import subprocess
import sys

NOT_MEASURES = {
    "__init__",
    "demo",
    "measure",
    "processes",
    "results",
    "write_histories",
}
LIMIT_SECONDS = 300


def measures():
    """Return the names of all measures."""
    folder = pathlib.Path(__file__).parent
    names = {path.stem for path in folder.glob("*.py")}
    return sorted(names - NOT_MEASURES)


def main():
    """Run the measures named on the command line, or all; exit 1 if one failed."""
    names = sys.argv[1:] or measures()
    unknown = set(names) - set(measures())
    if unknown:
        print(f"no measure {min(unknown)!r}; there are: {', '.join(measures())}")
        sys.exit(2)
    failed = []
    for name in names:
        command = [sys.executable, "-m", f"bench.{name}"]
        try:
            code = subprocess.run(command, timeout=LIMIT_SECONDS).returncode
        except subprocess.TimeoutExpired:
            code = 1
        if code:
            failed.append(name)
    if failed:
        print(f"bound missed or measure failed: {', '.join(failed)}", file=sys.stderr)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
