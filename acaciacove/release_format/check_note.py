"""Checks a release note against the release in force."""

from collections.abc import Iterable, Iterator, Mapping

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import ANY_VERSION, Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.release_format.note_fault import NoteFault, text_position

ADDED = "added"
CHANGED = "changed"
WITHDRAWN = "withdrawn"


def check_note(document: NoteDocument, state: FleetState) -> list[NoteFault]:
    """List the conflicts between a note and the release in force.

    These are a stale base revision, names that are unknown, and names that are
    declared in the wrong section. The reducer alone would accept a note that allows
    a model which no version serves, and callers would be refused. This check reports
    such faults to the operator before publishing.
    """
    path_messages = [
        *_base_revision_faults(document, state),
        *_added_faults(document, state),
        *_changed_faults(document, state),
        *_withdrawn_faults(document, state),
        *_reference_faults(document, state),
    ]
    faults = []
    for path, message in path_messages:
        faults.append(NoteFault(_find_line(document, path), path, message))
    return sorted(faults, key=text_position)


PathMessages = Iterator[tuple[str, str]]


def _base_revision_faults(document: NoteDocument, state: FleetState) -> PathMessages:
    if document.based_on in (None, state.release_revision):
        return
    message = f"{document.based_on} is not in force, {state.release_revision} is"
    yield "based_on", message


def _added_faults(document: NoteDocument, state: FleetState) -> PathMessages:
    live = [str(v.id) for v in state.versions.values() if not v.withdrawn]
    hint = "is in force already; put it under changed"
    for group, names, known in (
        ("apis", [a.name for a in document.added.apis], state.apis),
        ("versions", [str(v.id) for v in document.added.versions], live),
        (
            "organisations",
            _organisation_names(document.added.organisations),
            state.organisations,
        ),
    ):
        for index, name in enumerate(names):
            if name in known:
                yield f"{ADDED}.{group}[{index}]", f"{name} {hint}"


def _changed_faults(document: NoteDocument, state: FleetState) -> PathMessages:
    live = [str(v.id) for v in state.versions.values() if not v.withdrawn]
    hint = "is not in force; put it under added"
    for group, names, known in (
        ("apis", [a.name for a in document.changed.apis], state.apis),
        ("versions", [str(v.id) for v in document.changed.versions], live),
        (
            "organisations",
            _organisation_names(document.changed.organisations),
            state.organisations,
        ),
    ):
        for index, name in enumerate(names):
            if name not in known:
                yield f"{CHANGED}.{group}[{index}]", f"{name} {hint}"


def _withdrawn_faults(document: NoteDocument, state: FleetState) -> PathMessages:
    for index, version in enumerate(document.withdrawn_versions):
        path = f"{WITHDRAWN}.versions[{index}]"
        known = state.versions.get(version)
        if known is None:
            yield path, f"{version} is unknown"
        elif known.withdrawn:
            yield path, f"{version} is withdrawn already"
    for index, name in enumerate(document.withdrawn_organisations):
        if name not in state.organisations:
            yield f"{WITHDRAWN}.organisations[{index}]", f"{name} is unknown"


def _reference_faults(document: NoteDocument, state: FleetState) -> PathMessages:
    """Check the APIs, models and versions that declarations refer to."""
    apis = set(state.apis)
    versions = set(state.versions)
    for section in (document.added, document.changed):
        apis.update(api.name for api in section.apis)
        versions.update(version.id for version in section.versions)
    for name, section in ((ADDED, document.added), (CHANGED, document.changed)):
        for index, version in enumerate(section.versions):
            path = f"{name}.versions[{index}]"
            yield from _version_faults(path, version, apis, versions)
        for index, organisation in enumerate(section.organisations):
            path = f"{name}.organisations[{index}]"
            yield from _allowed_version_faults(path, organisation, versions)


def _version_faults(
    path: str, version: Version, apis: set[str], versions: set[VersionId]
) -> PathMessages:
    if version.api not in apis:
        yield f"{path}.api", f"API {version.api} is unknown"
    if version.replaces is not None and version.replaces not in versions:
        yield f"{path}.replaces", f"{version.replaces} is unknown"


def _allowed_version_faults(
    path: str, organisation: Organisation, versions: set[VersionId]
) -> PathMessages:
    models = {version.model for version in versions}
    for model, allowed in organisation.allowed.items():
        model_path = f"{path}.allowed.{model}"
        if model not in models:
            yield model_path, f"model {model} is unknown"
            continue
        for index, name in enumerate(allowed):
            if name != ANY_VERSION and VersionId(model, name) not in versions:
                yield f"{model_path}[{index}]", f"{model}@{name} is unknown"


def _organisation_names(organisations: Iterable[Organisation]) -> list[str]:
    return [organisation.name for organisation in organisations]


def _find_line(document: NoteDocument, path: str) -> int:
    """Return the line of a path, or of its nearest parent that has one."""
    lines: Mapping[str, int] = document.lines
    while path and path not in lines:
        path = path.rpartition(".")[0]
    return lines.get(path, 0)
