"""The version of sessions without a token, as part of the fleet state."""

from attrs import evolve

from acaciacove.fleet.fleet_state import FleetState, session_base_key
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId


def with_session_bases(state: FleetState) -> FleetState:
    """Choose a base version for every organisation and API without a usable one.

    A base changes only when it is withdrawn, quarantined or no longer allowed. If it
    were chosen again each time, a new version, or one that is usable again, would
    move sessions in the middle of a chat.
    """
    bases: dict[str, VersionId] = {}
    for organisation in state.organisations.values():
        for api in state.apis:
            key = session_base_key(organisation.name, api)
            base = _choose_base(state, organisation, api, state.session_bases.get(key))
            if base is not None:
                bases[key] = base
    return evolve(state, session_bases=bases)


def may_use(
    state: FleetState, organisation: Organisation, api: str, version: VersionId
) -> bool:
    """Return whether an organisation may use a version for an API."""
    known = state.versions.get(version)
    if known is None or known.api != api:
        return False
    return state.is_usable(version) and organisation.allows(version)


def _choose_base(
    state: FleetState, organisation: Organisation, api: str, previous: VersionId | None
) -> VersionId | None:
    """Return the previous base, or else the first declared version that is usable."""
    if previous is not None and may_use(state, organisation, api, previous):
        return previous
    for version in state.versions:
        if may_use(state, organisation, api, version):
            return version
    return None
