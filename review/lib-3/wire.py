"""A small HTTP/1.1 server for the stand-ins of these cases: JSON in, JSON out, keep-alive."""

import asyncio
import json
import urllib.parse

TEXTS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
         412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests"}


async def serve(address, handler):
    """handler(method, path, query, headers, body) returns (status, body)."""
    async def connection(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := (await reader.readline()).strip()):
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                status, body = await handler(method, path, dict(urllib.parse.parse_qsl(query)),
                                             headers, json.loads(raw) if raw else {})
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} {TEXTS[status]}\r\n"
                             "Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port), reuse_address=True)
