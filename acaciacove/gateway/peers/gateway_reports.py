"""Builds the reports that gateways send to each other, and applies received ones."""

import asyncio
import time

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_position import LogPosition
from acaciacove.gateway.peers.peer import Peer
from acaciacove.messages.gateway_report import GatewayReport
from acaciacove.messages.version_cell import VersionCell

# Nonces of sent reports that are retained to match the echo of a reply.
MAX_PENDING_NONCES = 512


class GatewayReports:
    """Reports of one gateway; they confirm views and sum up roll-outs' evidence."""

    def __init__(self, gateway: Gateway) -> None:
        """Start a new incarnation of the gateway."""
        self._gateway = gateway
        self._incarnation = time.time_ns()
        self._pending_nonces: dict[int, float] = {}
        self._next_nonce = 0

    def build(self, peer: Peer, reply_wanted: bool) -> GatewayReport:
        """Return the report to send to a peer now."""
        gateway = self._gateway
        now_s = asyncio.get_running_loop().time()
        self._next_nonce += 1
        self._pending_nonces[self._next_nonce] = gateway.view.clock_s()
        while len(self._pending_nonces) > MAX_PENDING_NONCES:
            del self._pending_nonces[next(iter(self._pending_nonces))]
        cells: list[VersionCell] = []
        for progress in gateway.rollouts.values():
            cells += progress.local_cells()
        settings = gateway.settings
        return GatewayReport(
            instance=settings.name,
            incarnation=self._incarnation,
            address=f"{settings.host}:{settings.peer_port}",
            revision=gateway.view.operator_revision,
            confirmed_age_s=gateway.view.confirmed_age_s,
            nonce=self._next_nonce,
            echo=peer.last_nonce,
            reply_wanted=reply_wanted,
            rollouts=tuple(p.view(now_s) for p in gateway.rollouts.values()),
            cells=tuple(cells),
            availability_zone=settings.availability_zone,
            outcomes_offset=gateway.outcomes_read.offset,
            era=gateway.view.operator_era,
            outcomes_era=gateway.outcomes_read.era,
        )

    def apply(self, report: GatewayReport, peer: Peer, now_s: float) -> None:
        """Apply a report that has just come from a peer."""
        peer.last_seen_s = peer.last_report_s = now_s
        peer.incarnation = report.incarnation
        peer.last_nonce = report.nonce
        outcomes_read = LogPosition(report.outcomes_era, report.outcomes_offset)
        self._gateway.peer_outcomes_read = max(
            self._gateway.peer_outcomes_read, outcomes_read
        )
        self._confirm_view(report)
        self._apply_rollouts(report, now_s)

    def _confirm_view(self, report: GatewayReport) -> None:
        """Confirm the local view if a peer's report shows that it is the newest.

        The reply was created after the local request was sent. So the peer polled the
        log at most ``confirmed_age_s`` before that request. A report without a matching
        echo may have been queued for any length of time, and confirms nothing.
        """
        requested_boot_s = self._pending_nonces.get(report.echo)
        view = self._gateway.view
        if requested_boot_s is None or (report.era, report.revision) != (
            view.operator_era,
            view.operator_revision,
        ):
            return
        view.confirm(requested_boot_s - report.confirmed_age_s)

    def _apply_rollouts(self, report: GatewayReport, now_s: float) -> None:
        peer = f"{report.instance}/{report.incarnation}"
        for view in report.rollouts:
            progress = self._gateway.rollouts.get(view.service)
            if progress is None or progress.order.order_id != view.revision:
                continue
            cells = [
                cell
                for cell in report.cells
                if cell.service == view.service and cell.revision == view.revision
            ]
            progress.apply_peer_counts(peer, view, cells, now_s)
