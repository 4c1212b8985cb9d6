"""Size and policies of a fake fleet."""

from collections.abc import Mapping

from attrs import frozen

from acaciacove.bench.engine_settings import EngineSettings
from acaciacove.bench.fake_entry import Choose, choose_ours
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.endpoint_settings import EndpointSettings


@frozen
class FleetSettings:
    """Size and policies of a fake fleet."""

    zones: tuple[str, ...]
    endpoints: int
    entries: int
    seed: int
    engine: EngineSettings = EngineSettings()
    weights: Mapping[str, float] = {}
    choose: Choose = choose_ours
    first_come: bool = False
    ramped: bool = True
    warm: bool = True
    report_lag_s: float = 0.0
    subset_size: int = 24
    admission: AdmissionSettings = AdmissionSettings(token_s=0.035)
    choice: EndpointSettings = EndpointSettings()
