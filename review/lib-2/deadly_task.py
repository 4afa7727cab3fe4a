"""Not a case: one task whose workers crash before they answer its start, on a fleet that is idle otherwise. How often is
it started? (issue 34: not three times more after three workers have crashed under it)"""

import asyncio
import time

from stand_ins import Entries, Fleet, Record, Worker, job_id


def main():
    fleet = Fleet(Record("/dev/null"), 8)
    fleet.configure()
    entries = Entries(fleet, 3)
    job, crashed = job_id(), []
    usual_start = Worker.start

    def start(worker, body):
        answer = usual_start(worker, body)
        if not body["task"].startswith(job) or answer[0] != 200:
            return answer
        crashed.append(worker.name)

        async def crash():
            worker.crash()
            await asyncio.sleep(2.5)
            await worker.boot()

        fleet.loop.create_task(crash())
        return None

    Worker.start = start
    try:
        entries.wait_ready()
        time.sleep(3)
        entries.submit(job, [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 5000}])
        end = time.monotonic() + 50
        while time.monotonic() < end and entries.state(job) != "failed":
            time.sleep(1)
        print(f"{entries.state(job)} after {len(crashed)} starts on {len(set(crashed))} workers")
    finally:
        entries.close()


main()
