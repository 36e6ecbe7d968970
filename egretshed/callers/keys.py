"""Authentication of customers by the bearer key of their requests."""

import hmac

from tornado.web import RequestHandler

from egretshed.configuration.keys import digest_key
from egretshed.configuration.schema import Configuration
from egretshed.errors import Unauthorized

BEARER = "Bearer "


class CustomerAuthenticator:
    """Finds the customer of a key by an index of key digests.

    The cost of a look-up does not grow with the number of customers. Its timing does
    not reveal a key, since the digest is one-way.
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
        """Return the id of the customer; raise `Unauthorized` if the key is unknown."""
        key_digest = digest_key(bearer_key(handler))
        for digest in (key_digest,) if key_digest in self._by_digest else ():
            if hmac.compare_digest(digest, key_digest):
                return self._by_digest[digest]
        raise Unauthorized("the customer key is missing or unknown")


def bearer_key(handler: RequestHandler) -> str:
    header = handler.request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise Unauthorized("Authorization header must be 'Bearer <key>'")
    return header[len(BEARER) :]
