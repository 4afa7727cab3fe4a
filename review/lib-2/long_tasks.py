"""Not a case: tasks of 100 to 600 s on sound workers that report whole percents, watched for 75 s without a disruption."""

import time

from stand_ins import Entries, Fleet, Record, job_id


def main():
    fleet = Fleet(Record("/dev/null"), 8)
    fleet.configure()
    entries = Entries(fleet, 3)
    try:
        entries.wait_ready()
        time.sleep(1)
        jobs = {job_id(): seconds for seconds in (100, 150, 250, 600)}
        for job, seconds in jobs.items():
            entries.submit(job, [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": seconds * 1000}])
        time.sleep(75)
        for job, seconds in jobs.items():
            starts = [start for start in fleet.starts if start[1].startswith(job)]
            stopped = [end for end in fleet.ends if end[1].startswith(job) and end[4] == "stopped"]
            print(f"task of {seconds} s: {len(starts)} starts, {len(stopped)} runs stopped")
    finally:
        entries.close()


main()
