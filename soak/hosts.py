"""Gateway hosts as child processes; only processes started here are signalled."""

import json
import os
import pathlib
import signal
import sys
import time
from typing import NamedTuple

import eventlet
import eventlet.patcher
import stand_in_objects

__all__ = [
    "Host",
    "ProcessRun",
    "Ports",
    "create",
    "start",
    "stop_all",
]

# Unpatched: a start through eventlet's hub may meet descriptors that other tasks have
# just closed.
subprocess = eventlet.patcher.original("subprocess")
ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "platform/edge.py"
# The options of the deploy file: no docstrings and assertions.
PYTHON_OPTIONS = ("-OO",)
POLL_INTERVAL_SECONDS = 0.02


class Ports(NamedTuple):
    """Ports of the listeners; the same on every host, as on the platform."""

    callers: int
    readiness: int
    directory: int
    control: int
    peers: int


class ProcessRun(NamedTuple):
    """One process of a host, from start to exit in monotonic seconds.

    Attributes
    ----------
    exit_cause : str
        Name of the signal that the soak sent, or ``itself`` with the exit code.
    """

    started_at: float
    ended_at: float | None
    exit_cause: str


class Host:
    """A host and its process.

    Attributes
    ----------
    process_runs : list of ProcessRun
    signal_name : str
        SIGTERM or SIGKILL once the soak has sent it, empty before.
    is_reserved : bool
        True while a fault uses the host.
    """

    def __init__(self, name, ip, zone, settings, folder):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = settings
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.signal_name = ""
        self.process_runs: list[ProcessRun] = []
        self.is_reserved = False

    def is_running(self):
        """Tell whether the process is running; record its exit when it is not."""
        if self.process is None:
            return False
        if self.process.poll() is None:
            return True
        process_run = self.process_runs[-1]
        if process_run.ended_at is None:
            exit_cause = self.signal_name or f"itself, with {self.process.returncode}"
            self.process_runs[-1] = process_run._replace(
                ended_at=time.monotonic(), exit_cause=exit_cause
            )
        return False

    def send_signal(self, number):
        """Send a signal to the process that this soak started."""
        if not self.is_running():
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.signal_name = signal.Signals(number).name
        self.process.send_signal(number)

    def wait(self, seconds):
        """Wait for the process to exit; return whether it did in time."""
        deadline = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() >= deadline:
                return False
            eventlet.sleep(POLL_INTERVAL_SECONDS)
        return True


def create(number, zone, zones, ports, ips, store_address, folder):
    """Return a host that has not been started."""
    name, ip = f"edge-{zone}-{number}", ips[number]
    seeds = (ips[0], ips[1], ips[2])
    settings = stand_in_objects.host_settings(
        name, ip, zone, zones, ports, seeds, store_address
    )
    return Host(name, ip, zone, settings, folder)


def start(host):
    """Write a host's settings file and start its process."""
    host.settings_path.write_text(json.dumps(host.settings))
    environment = {
        "PATH": os.environ["PATH"],
        "TREFOILPIN_CONFIG": str(host.settings_path),
        "EVENTLET_NO_GREENDNS": "yes",
    }
    host.signal_name = ""
    with open(host.log_path, "ab") as log:
        host.process = subprocess.Popen(
            [sys.executable, *PYTHON_OPTIONS, PROGRAM],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
    host.process_runs.append(ProcessRun(time.monotonic(), None, ""))


def stop_all(hosts):
    """Kill every process that is still running."""
    for host in hosts:
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
    for host in hosts:
        host.wait(5.0)
