"""Accepts callers' connections, and drains them before the exit."""

import asyncio
import socket

from attrs import define, field

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import CallerDisconnectedError, ConnectionLostError
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.held_bytes import HoldingCaller
from acaciacove.gateway.listen import LISTEN_BACKLOG, listen
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.serve_request import refuse_unread, serve_request
from acaciacove.gateway.watch_load import may_accept

# The part of the time between SIGTERM and SIGKILL that is reserved for the exit.
SHUTDOWN_MARGIN_S = 0.4
# After SIGTERM the balancer needs two failed probes, one second apart, before it sends
# no more callers here. A request that arrives later might not be finished before the
# exit, so none is accepted after this time.
ACCEPT_AFTER_STOP_S = 2.6
# If the process has less time than that, it accepts callers for this share of it.
ACCEPT_AFTER_STOP_SHARE = 0.5
SHUTDOWN_MARGIN_SHARE = 0.1
SHUTDOWN_POLL_S = 0.05


@define(eq=False)
class CallerListener:
    """The callers' connections of a gateway.

    ``front_socket`` is a listening socket that the process has already opened, None if
    there is none.
    """

    gateway: Gateway
    dialect: Dialect
    front_socket: socket.socket | None = None
    connections: set[FrontConnection] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Log the callers that are cut for the bytes that they hold."""
        self.gateway.held.report_cut = self._report_cut

    async def open(self) -> asyncio.Server:
        """Accept callers from now on."""
        if self.front_socket is None:
            return await listen(self.gateway.settings.front_address, self._front)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self._front, sock=self.front_socket, backlog=LISTEN_BACKLOG
        )

    def _front(self) -> FrontConnection:
        return FrontConnection(
            self._serve,
            self.dialect,
            self._limits,
            lambda: self.gateway.shutting_down,
            self.connections,
            self.gateway.held,
            self._refuse_unread,
            lambda: may_accept(self.gateway, len(self.connections)),
        )

    def _limits(self) -> CallerLimits:
        catalogue = self.gateway.view.catalogue
        return catalogue.limits if catalogue is not None else CallerLimits()

    async def _serve(self, request: CallerRequest, front: FrontConnection) -> None:
        try:
            await serve_request(self.gateway, request, front)
        except (CallerDisconnectedError, ConnectionLostError):
            raise
        except Exception as error:
            self.gateway.log.write(
                Event.FAULT,
                request_id=request.hints.request_id,
                detail=repr(error),
            )
            raise

    async def _refuse_unread(
        self, request: CallerRequest, front: FrontConnection
    ) -> None:
        await refuse_unread(self.gateway, request, front)

    def _report_cut(self, caller: HoldingCaller, idle_s: float) -> None:
        self.gateway.metrics.count(Metric.CALLERS_CUT)
        self.gateway.log.write(
            Event.CALLER_CUT,
            request_id=caller.request_id,
            held_bytes=caller.unread_bytes,
            idle_s=round(idle_s, 3),
        )

    async def drain(self, front: asyncio.Server) -> None:
        """Stop accepting callers and finish the requests in progress."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        gateway = self.gateway
        gateway.shutting_down = True
        gateway.log.write(Event.LEAVING, open_connections=len(self.connections))
        grace_s = gateway.settings.grace_s
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, ACCEPT_AFTER_STOP_SHARE * grace_s))
        front.close()
        deadline_s = (
            began_s + grace_s - min(SHUTDOWN_MARGIN_S, SHUTDOWN_MARGIN_SHARE * grace_s)
        )
        while self.connections and loop.time() < deadline_s:
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(SHUTDOWN_POLL_S)
