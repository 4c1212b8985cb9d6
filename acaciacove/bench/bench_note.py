"""The release note of measurements over real processes."""

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.standins.example_organisations import example_organisation
from acaciacove.state.release_note import ReleaseNote

API = "guide"
VERSION = VersionId("guide-small", "1")
ORGANISATION = "bench-callers"
BEARS = 512


def bench_note() -> ReleaseNote:
    """Return a note with one version that bears whatever the bench sends."""
    version = Version(VERSION, API, 0.1, 1.0, cold_bears=BEARS, warm_bears=BEARS)
    return ReleaseNote(
        note_id="bench",
        based_on=-1,
        apis=(Api(API, ApiKind.MODEL),),
        versions=(version,),
        organisations=(example_organisation(ORGANISATION, (VERSION.model,)),),
    )
