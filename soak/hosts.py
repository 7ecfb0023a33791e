"""Hosts as processes of their own, ended by their ids only."""

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

__all__ = ["Host", "Life", "Ports", "create", "free_ports", "start", "stop_all"]

# Starting a process by way of the hub would meet descriptors that others just closed.
subprocess = eventlet.patcher.original("subprocess")
ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "platform/edge.py"
# As the deploy file runs it: without docstrings and assertions.
OPTIONS = ("-OO",)
POLL_SECONDS = 0.02


class Ports(NamedTuple):
    """The same on every host, as on the platform."""

    callers: int
    ready: int
    directory: int
    control: int
    peers: int


class Life(NamedTuple):
    """One start of a host's process, from its start to its end in seconds."""

    started_at: float
    ended_at: float | None
    ended_by: str


class Host:
    """A host and its process.

    Attributes
    ----------
    lives : list of Life
    signal_name : str
        What the soak last sent that ends the process.
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
        self.lives: list[Life] = []
        self.is_busy = False

    def is_running(self):
        """Tell whether the process runs; note its end."""
        if self.process is None:
            return False
        if self.process.poll() is None:
            return True
        life = self.lives[-1]
        if life.ended_at is None:
            by = self.signal_name or f"itself, with {self.process.returncode}"
            self.lives[-1] = life._replace(ended_at=time.monotonic(), ended_by=by)
        return False

    def send_signal(self, number):
        """Send a signal to the process that this soak started."""
        if not self.is_running():
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.signal_name = signal.Signals(number).name
        self.process.send_signal(number)

    def wait(self, seconds):
        """Wait for the end of the process; return whether it came in time."""
        until = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() >= until:
                return False
            eventlet.sleep(POLL_SECONDS)
        return True


def free_ports(ips, count):
    """Return ports that are free on every one of some addresses, no two alike."""
    found, taken = [], []
    while len(found) < count:
        probe = eventlet.listen((ips[0], 0))
        taken.append(probe)
        port = probe.getsockname()[1]
        try:
            taken.extend(eventlet.listen((ip, port)) for ip in ips[1:])
        except OSError:
            # Taken on another address; the next draw gives another port.
            continue
        found.append(port)
    for sock in taken:
        sock.close()
    return Ports(*found)


def create(number, zone, zones, ports, ips, store_address, folder):
    """Return a host that does not run yet."""
    name, ip = f"edge-{zone}-{number}", ips[number]
    seeds = (ips[0], ips[1], ips[2])
    settings = stand_in_objects.host_settings(
        name, ip, zone, zones, ports, seeds, store_address
    )
    return Host(name, ip, zone, settings, folder)


def start(host):
    """Start the process of a host, with the settings it has now."""
    host.settings_path.write_text(json.dumps(host.settings))
    environment = {
        "PATH": os.environ["PATH"],
        "TREFOILPIN_CONFIG": str(host.settings_path),
        "EVENTLET_NO_GREENDNS": "yes",
    }
    host.signal_name = ""
    with open(host.log_path, "ab") as log:
        host.process = subprocess.Popen(
            [sys.executable, *OPTIONS, PROGRAM],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
    host.lives.append(Life(time.monotonic(), None, ""))


def stop_all(hosts):
    """Kill every process that is left."""
    for host in hosts:
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
    for host in hosts:
        host.wait(5.0)
