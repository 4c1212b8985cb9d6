"""Divides the append rate of the platform's log among the processes of the fleet."""

from attrs import evolve

from acaciacove.state.log_writer_settings import LogWriterSettings

FLEET_CLAIMS_PER_S = 190.0
FLEET_BILLING_PER_S = 80.0
MIN_RATE_PER_S = 0.05


def split_append_rates(
    settings: LogWriterSettings, claim_owners: int, billing_processes: int
) -> LogWriterSettings:
    """Split the fleet's append rates evenly, so that their sum stays bounded."""
    claims = FLEET_CLAIMS_PER_S / max(1, claim_owners)
    billing = FLEET_BILLING_PER_S / max(1, billing_processes)
    return evolve(
        settings,
        claims_per_s=max(MIN_RATE_PER_S, claims),
        billing_per_s=max(MIN_RATE_PER_S, billing),
    )
