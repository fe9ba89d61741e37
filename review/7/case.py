"""A client cancels a job while the entry that it was handed to runs it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "scene-2"))

import scene as s

# The longest tasks of the site.
TASK_MS = 3600
JOB = {"count": 4, "cpu": 3100, "estimate_ms": 900, "deadline_ms": 14000}


async def case(scene, trouble):
    await scene.start(entries=3, executors=11, cpu=32000,
                      length_ms=lambda task, spec: TASK_MS)
    job = s.new_id()
    call = asyncio.create_task(scene.submit(job, **JOB))
    if not await scene.until(lambda: any(e.runs for e in scene.executors)):
        raise s.CannotRun("the job does not start")
    await asyncio.sleep(0.2)
    acknowledged = 0
    if trouble:
        scene.record(f"client: DELETE {job}")
        status, answer = await s.request(scene.fronts[0], "DELETE", s.PREFIX + job,
                                         {"Host": s.HOST})
        acknowledged = s.now_ms()
        scene.record(f"client: DELETE {job} answered {status} {answer}")
        if not (200 <= status < 300 or status == 410):
            return [f"ack: the cancelling is answered {status}"]
    await asyncio.wait([call], timeout=8)
    if not trouble:
        status, answer = call.result() if call.done() else (0, "")
        return [] if "completed" in answer else [f"the job ends with {status} {answer}"]
    bound = acknowledged + s.BOUNDS["cancel_ms"]
    broken = []
    for at, executor, what, name, number, _ in scene.runs:
        after = at - acknowledged
        if what == "start" and at > bound:
            broken.append(f"UNASKED: {name} run {number} starts {after} ms after the"
                          " acknowledgement")
        elif what != "start" and at > bound + s.BOUNDS["stop_ms"]:
            broken.append(f"UNASKED: {name} run {number} runs until {after} ms after the"
                          " acknowledgement")
    return broken


s.main(case, record=os.path.join(FOLDER, "record.txt"),
       trouble=os.environ.get("TROUBLE", "1") != "0")
