"""The service's protocol on top of HTTP, for clients and backends. Subclasses may replace it."""

from __future__ import annotations

from ingress import interface as io
from ingress.net.connection_interfaces import ImmediateResponse
from ingress.net.errors import MalformedRequestError
from ingress.net.exchange import PLAIN, outcome_of
from ingress.net.http_messages import ClientRequest, Response
from ingress.net.request_parser import CUSTOMER, read_request


class ServiceProtocol:
    """The paths, headers and statuses with which requests and responses are read and written."""

    health_path: bytes | None = b"/healthz"
    withheld_headers = frozenset((b"x-budget",))  # request headers that aren't passed on to backends
    label = b""  # response header with the request's id; empty if there is none
    streams = False  # whether backends may begin to execute an incomplete request
    ends = PLAIN  # how responses end, except responses to HEAD

    def __init__(self, settings: io.Settings, load_fields: tuple[str, ...]) -> None:
        self.settings = settings
        self.load_fields = load_fields

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]]
    ) -> io.Request | ImmediateResponse:
        """Return the request for the decision module, or the immediate response to an invalid one."""
        match = CUSTOMER.fullmatch(url)
        if match is None:
            return ImmediateResponse(404, "no such path", close=True)
        try:
            return read_request(self.settings, match[1], method, headers)
        except MalformedRequestError as error:
            return ImmediateResponse(error.status, str(error), close=True)

    def message(self, call: ClientRequest, backend: str, patience: float) -> bytes:
        """Return the request as sent to a backend; `patience` is how long this ingress waits, in seconds."""
        return call.message(b"X-Budget: %dm\r\n" % max(1, int(patience * 1000)))

    def outcome(self, call: ClientRequest, answer: Response) -> io.Outcome | None:
        """Return the outcome of an attempt by its response; None for a response to another request."""
        return outcome_of(answer)

    def lines(self, answer: Response) -> bytes:
        """Return the header lines of a backend's response that are passed on to the client."""
        kind = answer.headers.get(b"content-type")
        return b"Content-Type: %s\r\n" % kind if kind else b""

    def load(self, answer: Response | None) -> dict[str, float]:
        """Return the load report of a response, from its header or a probe's body: `TEXT name=value, ...`."""
        if answer is None:
            return {}
        text = (answer.headers.get(b"x-load-report") or answer.body).decode("ascii", "replace")
        pairs = (part.strip().partition("=") for part in text.removeprefix("TEXT").split(","))
        return {key: read_number(value.encode()) for key, _, value in pairs if key in self.load_fields}


def read_number(text: bytes) -> float:
    """Parse a finite number of 0 or more; anything else counts as 0."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < float("inf") else 0.0
