"""Rendezvous hashing: every host ranks the same candidates in the same order.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib

__all__ = ["rank"]

SCORE_BYTES = 8


def rank(name, identifiers):
    """Return identifiers in rendezvous order for a name, highest score first.

    Parameters
    ----------
    name : str
    identifiers : iterable of str

    Returns
    -------
    list of str
    """

    def score(identifier):
        text = f"{name}\0{identifier}".encode()
        return hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()

    return sorted(identifiers, key=score, reverse=True)
