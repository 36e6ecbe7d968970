"""Finds the customer or operator that a key belongs to."""

import hmac

from tornado.web import RequestHandler

from egretshed.configuration.keys import digest_key
from egretshed.configuration.schema import Configuration
from egretshed.errors import Unauthorized

BEARER = "Bearer "


class CustomerAuthenticator:
    """Customers by key digest, so that a check does not grow with their number.

    A look-up by digest tells nothing of a key, since the digest is one-way.
    """

    def __init__(self, configuration) -> None:
        self._by_digest: dict[str, str] = {}
        configuration.subscribe(self.rebuild)
        self.rebuild(configuration.current)

    def rebuild(self, configuration: Configuration) -> None:
        self._by_digest = {
            digest: name
            for name, customer in configuration.customers.items()
            for digest in customer.key_digests
        }

    def authenticate(self, handler: RequestHandler) -> str:
        """Return the customer's name; raise `Unauthorized` for any other key."""
        given = digest_key(bearer_key(handler))
        for digest in (given,) if given in self._by_digest else ():
            if hmac.compare_digest(digest, given):
                return self._by_digest[digest]
        raise Unauthorized("customer key is missing or wrong")


def bearer_key(handler: RequestHandler) -> str:
    header = handler.request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise Unauthorized("Authorization header must be 'Bearer <key>'")
    return header[len(BEARER) :]
