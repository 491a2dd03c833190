"""HTTP client of the operators' interface."""

from __future__ import annotations

import json
import typing as ty

from tornado import httpclient

from goldcrestproxy import errors

REQUEST_TIMEOUT_S: ty.Final = 100.0
CONNECT_TIMEOUT_S: ty.Final = 2.0


class ServerUnreachableError(errors.GoldcrestProxyError):
    """No daemon answers at the address of ``--server``."""


class RefusalError(errors.GoldcrestProxyError):
    """A daemon refused a request; ``answer`` is its whole JSON answer."""

    def __init__(self, answer: dict[str, ty.Any]) -> None:
        self.answer = answer
        self.code = int(answer.get("code", 0))
        super().__init__(f"{answer.get('text')} (code {self.code})")


class Client:
    """Blocking client of one daemon's service port."""

    def __init__(self, server: str) -> None:
        """Set the daemon's address, as ADDRESS:PORT."""
        self._server = server
        self._http = httpclient.HTTPClient()

    def get(self, path: str) -> dict[str, ty.Any]:
        """Send a GET request; see ``_fetch`` for errors."""
        return self._fetch(httpclient.HTTPRequest(self._url(path)))

    def post(self, path: str, value: dict[str, ty.Any]) -> dict[str, ty.Any]:
        """Send a POST request with a JSON body; see ``_fetch`` for errors."""
        return self._fetch(
            httpclient.HTTPRequest(
                self._url(path), method="POST", body=json.dumps(value)
            )
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    def _url(self, path: str) -> str:
        return f"http://{self._server}{path}"

    def _fetch(self, request: httpclient.HTTPRequest) -> dict[str, ty.Any]:
        """Return the answer's JSON object.

        :raises RefusalError: if the daemon refuses the request
        :raises ServerUnreachableError: if no valid answer is received
        """
        request.connect_timeout = CONNECT_TIMEOUT_S
        request.request_timeout = REQUEST_TIMEOUT_S
        try:
            response = self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise self._unreachable_error(error) from error
        if response.code == 599:
            raise self._unreachable_error(response.error)
        try:
            answer = json.loads(response.body)
        except ValueError as error:
            raise self._unreachable_error(error) from error
        if response.code != 200:
            raise RefusalError(answer)
        return ty.cast(dict[str, ty.Any], answer)

    def _unreachable_error(self, error: object) -> ServerUnreachableError:
        return ServerUnreachableError(
            f"{self._server} does not answer: {error}; name the service "
            "port of a running daemon with --server"
        )
