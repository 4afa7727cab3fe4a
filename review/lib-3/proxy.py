"""A proxy in front of one worker: passes calls on, drops them while the worker is cut off, and can keep
one call without an answer and hand it to whatever listens at the worker's address later."""

import asyncio
import threading


class Proxies:
    """Runs the proxies of a deployment on a thread of their own."""

    def __init__(self, record):
        self.record = record
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.cut_off = set()    # workers that no call reaches
        self.held = None        # (worker, request) that was kept back
        self.hold_next = False  # keep the next start order back

    def add(self, worker, address, behind):
        asyncio.run_coroutine_threadsafe(self._listen(worker, address, behind), self.loop).result(5)

    def carry_out_held(self, behind):
        """Hand the kept call to the worker that listens now; nobody waits for its answer."""
        worker, request = self.held
        answer = asyncio.run_coroutine_threadsafe(self._forward(behind, request),
                                                  self.loop).result(5)
        self.record("order carried out late", worker=worker,
                    answer=answer.decode(errors="replace").splitlines()[-1] if answer else None)

    async def _listen(self, worker, address, behind):
        host, port = address.rsplit(":", 1)

        async def connection(reader, writer):
            try:
                while True:
                    request = await self._read(reader)
                    if self.hold_next and b"run-start" in request.split(b"\r\n", 1)[0]:
                        self.hold_next, self.held = False, (worker, request)
                        self.cut_off.add(worker)  # it crashes now
                        self.record("start order kept without an answer", worker=worker)
                    if worker in self.cut_off:
                        await reader.read()  # silent until the caller gives up
                        break
                    answer = await self._forward(behind, request)
                    if answer is None or worker in self.cut_off:
                        await reader.read()
                        break
                    writer.write(answer)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        await asyncio.start_server(connection, host, int(port))

    async def _read(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return head + await reader.readexactly(length)

    async def _forward(self, behind, request):
        """One connection for each call, as its answer may come late."""
        host, port = behind.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return None
        try:
            writer.write(request)
            return await self._read(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()
