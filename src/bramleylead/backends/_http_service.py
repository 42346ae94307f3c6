"""HTTP client of a plain service; ``docs/endpoints.md`` describes the format."""

from __future__ import annotations

import json
from typing import Any
from typing import final
from urllib.parse import quote

from result import Err
from result import Ok
from result import Result

from bramleylead.backends._http_errors import error_from_response
from bramleylead.backends._http_errors import error_without_response
from bramleylead.backends._http_errors import malformed_response_error
from bramleylead.backends._types import BackendError
from bramleylead.backends._types import ServiceCall
from bramleylead.connection._http_client import HttpClient
from bramleylead.json_input import decode_json


@final
class HttpService:
    """HTTP client of one plain service. It sends each call at most once and never retries."""

    def __init__(self, name: str, client: HttpClient) -> None:
        self._name = name
        self._client = client

    async def invoke(self, call: ServiceCall, *, timeout_s: float) -> Result[Any, BackendError]:
        """Run a call and return its JSON response."""
        body = json.dumps({"call": call.call, "arguments": call.arguments, "fence": call.fence})
        response = await self._client.request(
            "POST",
            f"/v1/tools/{quote(call.tool, safe='')}",
            body=body.encode(),
            headers={"content-type": "application/json", "idempotency-key": call.call},
            timeout_s=timeout_s,
        )
        if isinstance(response, Err):
            return Err(error_without_response(response.err_value))
        if response.ok_value.status != 200:
            return Err(error_from_response(self._name, response.ok_value))
        try:
            return Ok(decode_json(response.ok_value.body)["value"])
        except (KeyError, TypeError, ValueError) as error:
            return Err(malformed_response_error(self._name, error))
