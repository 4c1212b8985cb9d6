"""A stand-in of a consumer with one connection to a gateway."""

import asyncio

from standins.gateway import FRONT_PORT
from standins.http1 import BrokenMessageError, Message, read_message, write_message
from standins.record import Record

HOST = "kiosk.example"


class Consumer:
    """Sends one request at a time, on a kept connection where possible."""

    def __init__(self, name: str, gateway_host: str, key: str, record: Record) -> None:
        """Start without a connection."""
        self.name = name
        self._gateway_host = gateway_host
        self._key = key
        self.sent: dict[str, float] = {}
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        attempt_id: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> Message | None:
        """Return the answer; None if the connection ends without a whole one."""
        fields = {
            "Host": HOST,
            "Acaciacove-Attempt-Id": attempt_id,
            "Acaciacove-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {self._key}",
        }
        self.sent[attempt_id] = self._record.now_s()
        self._record.write(f"{self.name} sends {attempt_id}: {method} {path}")
        try:
            answer = await self._exchange(
                write_message(f"{method} {path} HTTP/1.1", fields, body)
            )
        except (BrokenMessageError, OSError) as error:
            self._record.write(f"{self.name} gets no answer to {attempt_id}: {error}")
            self.close()
            return None
        if answer is None:
            self._record.write(f"{self.name} gets no answer to {attempt_id}: closed")
            self.close()
            return None
        status = answer.start.split()[1]
        self._record.write(f"{self.name} gets {status} to {attempt_id}")
        if answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _exchange(self, request: bytes) -> Message | None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._gateway_host, FRONT_PORT
            )
        assert self._reader is not None
        self._writer.write(request)
        return await read_message(self._reader, is_response=True)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def status_of(answer: Message) -> int:
    """Return the status of an answer."""
    return int(answer.start.split()[1])
