"""The fake store of a simulated fleet: what others write, and objects of its own."""

from returns.result import Failure, Success

from trefoilpin.gateway.store import document_cache
from trefoilpin.gateway.store.document_cache import ROLLOUTS
from trefoilpin.gateway.store.stores import StoredObject, StoreFailure

__all__ = [
    "STORE_LATENCY_SECONDS",
    "StoreContent",
    "create_object_calls",
]

STORE_LATENCY_SECONDS = 0.004
# Time until a call without an answer fails, and until it may still take effect.
LOST_ANSWER_SECONDS = 1.0
MAX_LATE_CALL_SECONDS = 4.0


class StoreContent:
    """Objects of the fake store; while ``is_down``, every call fails.

    Calls of the hosts in ``refused`` fail while the store answers the others. The share
    ``lost_answers`` of the calls on objects of the fleet's own gets no answer.
    """

    def __init__(self):
        self.revision = 1
        self.era = 0
        self.objects_by_kind: dict[str, dict] = {
            kind: {} for kind in (*document_cache.KINDS, ROLLOUTS)
        }
        self.is_down = False
        self.refused: frozenset[str] = frozenset()
        self.calls = 0
        self.lost_answers = 0.0

    def put(self, kind, name, content):
        self.revision += 1
        objects = self.objects_by_kind[kind]
        self.objects_by_kind[kind] = objects | {name: content}

    def put_order(self, name, spec, status=None):
        """Create or replace an order of a rollout, which has a revision of its own."""
        metadata = {"name": name, "revision": self.revision + 1}
        content = {"metadata": metadata, "spec": spec, "status": status}
        self.put(ROLLOUTS, name, content)

    def remove(self, kind, name):
        self.revision += 1
        objects = dict(self.objects_by_kind[kind])
        del objects[name]
        self.objects_by_kind[kind] = objects

    def read_own(self, kind, name):
        """Return an object of the fleet's own as a ``StoredObject``."""
        objects = self.objects_by_kind.get(kind, {})
        return Success(StoredObject(*objects.get(name, (None, 0)), self.era))

    def write_own(self, kind, name, spec, revision):
        """Create or replace such an object if it still has a revision."""
        if self.read_own(kind, name).unwrap().revision != revision:
            return Failure(StoreFailure("the object changed", True))
        self.revision += 1
        objects = self.objects_by_kind.get(kind, {})
        stored = (dict(spec), self.revision)
        self.objects_by_kind[kind] = objects | {name: stored}
        return self.read_own(kind, name)

    def take_snapshot(self):
        """Return the objects and the revision, for ``restore``."""
        return dict(self.objects_by_kind), self.revision

    def restore(self, snapshot):
        """Lose all writes since a snapshot; revisions are assigned again from there."""
        objects_by_kind, self.revision = snapshot
        self.objects_by_kind = dict(objects_by_kind)
        self.era += 1


def create_object_calls(tasks, rng, store, address):
    """Return a host's ``read_object`` and ``write_object`` for its ``Store``.

    A call without an answer takes effect at once or seconds later.

    Parameters
    ----------
    tasks : Tasks
    rng : random.Random
    store : StoreContent
    address : str
    """

    def call(function, *arguments):
        store.calls += 1
        tasks.sleep(STORE_LATENCY_SECONDS * (0.5 + rng.random()))
        if store.is_down or address in store.refused:
            return Failure(StoreFailure("store unavailable"))
        if rng.random() >= store.lost_answers:
            outcome = function(*arguments)
            tasks.sleep(STORE_LATENCY_SECONDS)
            return outcome
        if rng.random() < 0.5:
            function(*arguments)
        else:
            tasks.spawn(None, run_late, function, *arguments)
        tasks.sleep(LOST_ANSWER_SECONDS)
        return Failure(StoreFailure("no answer"))

    def run_late(function, *arguments):
        tasks.sleep(MAX_LATE_CALL_SECONDS * rng.random())
        function(*arguments)

    def read_object(kind, name):
        return call(store.read_own, kind, name)

    def write_object(kind, name, spec, revision):
        return call(store.write_own, kind, name, spec, revision)

    return read_object, write_object
