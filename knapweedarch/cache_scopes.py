"""Which customers share cached prompt parts, and the salts that divide them.

An endpoint finds a cached part only under the salt that it was made under. The
salt of a customer that shares nothing contains its name. All others use one
salt, which is derived from the names of those that share nothing. Whoever uses
it is therefore none of these, and no part under it was made by one of them: not
before a change of the configuration either, whatever the changes before it were
and whichever router the part was made through.
"""

import hashlib
import urllib.parse

import attrs

from knapweedarch.deployments import Customer, Deployment
from knapweedarch.models import Endpoint

# First character of the shared scope; a quoted name cannot contain it.
SHARED_MARK = "@"
# Hexadecimal digits of the digest of names.
DIGEST_CHARS = 16


def unshared_names(deployment: Deployment) -> frozenset[str]:
    """Returns the names of the customers that share no cached parts.

    They are those that are isolated, and others that were before.
    """
    isolated = (c.name for c in deployment.customers if c.isolated)
    return frozenset((*deployment.unshared, *isolated))


def with_unshared(
    deployment: Deployment, before: Deployment | None
) -> Deployment:
    """Returns a new configuration with the names that share nothing.

    The names of the configuration before are kept, so that the shared salt
    stays the same and what is cached is still used. They are replaced once the
    new one isolates another customer, as the shared salt changes then anyway.

    Args:
        deployment: The new configuration.
        before: The configuration that it replaces; None if there is none.
    """
    names = unshared_names(attrs.evolve(deployment, unshared=()))
    if before is not None and names <= unshared_names(before):
        names = unshared_names(before)
    return attrs.evolve(deployment, unshared=tuple(sorted(names)))


def for_earlier_build(deployment: Deployment) -> Deployment:
    """Returns a configuration for routers that do not read `unshared`.

    They use one salt for all customers that are not isolated, whoever has used
    it before. Once a customer shares nothing, none shares at these routers.
    """
    if not unshared_names(deployment):
        return deployment
    customers = (attrs.evolve(c, isolated=True) for c in deployment.customers)
    return attrs.evolve(deployment, customers=tuple(customers))


class CacheScopes:
    """The salts of the customers of a configuration.

    A salt is the weights version and a scope: the customer's own one or the
    shared one.
    """

    def __init__(self, deployment: Deployment):
        names = unshared_names(deployment)
        self._own = {name: _own_scope(name) for name in names}
        self._shared = _shared_scope(names)

    def salt(self, customer: Customer | None, endpoint: Endpoint) -> str:
        """Returns the salt of a customer's cached parts at an endpoint.

        It contains the weights version, so that parts computed with other
        weights never match.

        Args:
            customer: The customer as the request was admitted; a later
                configuration may isolate or lack it. None for requests without
                a customer.
            endpoint: The endpoint.
        """
        return f"{endpoint.weights_version}.{self._scope(customer)}"

    def _scope(self, customer: Customer | None) -> str:
        if customer is None:
            return self._shared
        if customer.name in self._own:
            return self._own[customer.name]
        if customer.isolated:
            # An earlier configuration admitted it, and this one lacks it.
            return _own_scope(customer.name)
        return self._shared


def _own_scope(name: str) -> str:
    """Returns the scope of one customer, which no other one ever has."""
    return urllib.parse.quote(name, safe="") or "%"


def _shared_scope(unshared: frozenset[str]) -> str:
    """Returns the scope of all customers but some.

    It is empty if there are none, as in earlier builds.
    """
    if not unshared:
        return ""
    text = "\n".join(_own_scope(name) for name in sorted(unshared))
    digest = hashlib.sha256(text.encode()).hexdigest()
    return SHARED_MARK + digest[:DIGEST_CHARS]
