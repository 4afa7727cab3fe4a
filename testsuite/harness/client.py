"""A small blocking HTTP client."""

import dataclasses
import http.client
import json


@dataclasses.dataclass
class Answer:
    """A complete response; status 0 means that no response was received."""

    status: int
    body: bytes
    headers: dict

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, key=None, headers=None, timeout=10.0):
    """Send one request; a failed connection gives status 0 instead of an exception."""
    host, port = address.rsplit(":", 1)
    sent = dict(headers or {})
    if key:
        sent["Authorization"] = "Bearer " + key
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        return Answer(response.status, response.read(), dict(response.getheaders()))
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, str(error).encode(), {})
    finally:
        connection.close()
