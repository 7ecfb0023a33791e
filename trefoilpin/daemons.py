"""One host's daemon: its services put together in order, and its life."""

import logging
import signal

import eventlet
import eventlet.event

from trefoilpin import (
    admin,
    balancers,
    checks,
    clocks,
    configurations,
    events,
    forwarders,
    frontends,
    keys,
    limits,
    metrics,
    operations,
    proxies,
    queues,
    routes,
    stores,
    tickets,
)
from trefoilpin.kernel import create_kernel

__all__ = ["assemble", "run"]


def assemble(settings, kernel=None, write_log=None):
    """Create every service of one host.

    Parameters
    ----------
    settings : dict
        Checked settings by name.
    kernel : Kernel, optional
        A new one with the system's clock by default.
    write_log : callable, optional
        Takes finished log lines in place of standard error.

    Returns
    -------
    Kernel
        Not started yet.
    """
    if kernel is None:
        kernel = create_kernel(clocks.system_clock(eventlet.sleep), eventlet.spawn)
    events.create(kernel, settings["log.format"], settings["log.sample"], write_log)
    metrics.create(kernel)
    stores.create(
        kernel, settings["store.addresses"], settings["store.timeout_seconds"]
    )
    configurations.create(kernel)
    tickets.create(kernel, checks.check)
    routes.create(kernel)
    keys.create(kernel)
    limits.create(kernel)
    operations.create(kernel)
    queues.create(kernel)
    balancers.create(kernel)
    forwarders.create(kernel, settings["proxy.max_buffered_answer_bytes"])
    proxies.create(kernel)
    frontends.create(
        kernel,
        settings["host.caller_address"],
        settings["proxy.max_connections"],
        settings["proxy.idle_seconds"],
        settings["proxy.max_body_bytes"],
    )
    admin.create(kernel, settings["host.admin_address"])
    return kernel


def run(settings):
    """Run the daemon until it is told to stop.

    Parameters
    ----------
    settings : dict
        Checked settings by name.
    """
    logging.basicConfig(level=settings["log.level"].upper())
    kernel = assemble(settings)
    emit = kernel.find("events").emit
    stopping = eventlet.event.Event()

    def request_stop(number, frame):
        if not stopping.ready():
            eventlet.spawn_after(0, stopping.send)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    kernel.start()
    name, zone = settings["host.name"], settings["host.zone"]
    emit(events.DAEMON_STARTED, host=name, zone=zone)
    stopping.wait()
    emit(events.DAEMON_STOPPED, host=name)
    kernel.stop()
