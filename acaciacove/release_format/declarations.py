"""The declarations in one section of a release note."""

from attrs import frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version


@frozen
class Declarations:
    """APIs, versions and organisations under ``added`` or under ``changed``."""

    apis: tuple[Api, ...] = ()
    versions: tuple[Version, ...] = ()
    organisations: tuple[Organisation, ...] = ()
