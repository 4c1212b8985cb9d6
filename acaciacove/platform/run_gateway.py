"""Reads the platform's settings file and runs a gateway with this adapter."""

import asyncio
import socket
import sys
from pathlib import Path

from acaciacove.errors import InvalidSettingsError
from acaciacove.exit_status import ExitStatus
from acaciacove.gateway.daemon import serve_gateway
from acaciacove.platform.build_id import read_build_id
from acaciacove.platform.early_listener import node_file_path
from acaciacove.platform.header_fields import DIALECT
from acaciacove.platform.log_client import LogClient
from acaciacove.platform.node_file import read_node_file
from acaciacove.platform.records import CODEC


def run_gateway(front: socket.socket | None) -> ExitStatus:
    """Serve until stopped; all faults in the settings are reported together."""
    path = Path(node_file_path())
    try:
        settings = read_node_file(path)
    except InvalidSettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f"acaciacove: {path}: {fault}\n")
        return ExitStatus.USAGE
    host, _, port = settings.log_address.rpartition(":")
    log_client = LogClient(host, int(port), settings.name)
    asyncio.run(
        serve_gateway(
            lambda: read_node_file(path),
            DIALECT,
            CODEC,
            log_client,
            front,
            read_build_id(),
        )
    )
    return ExitStatus.SUCCESS
