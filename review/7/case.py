"""An executor restarts as another kind while an entry is cut off from the other machines."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "scene-2"))

import scene as s

DOWN_MS = 3200
CUT_MS = 250
# Between jobs of one kind at one entry.
INTERVAL_MS = {"a": 30, "b": 60}


async def case(scene, trouble):
    broken = []
    calls = []

    async def send_jobs(front, kind):
        while True:
            calls.append(asyncio.create_task(scene.submit(
                s.new_id(), front=front, spec=f"needs {kind}", count=2, cpu=3100,
                estimate_ms=200, deadline_ms=1500, requires=kind)))
            await asyncio.sleep(INTERVAL_MS[kind] / 1000)

    def check():
        _, executor, _, name, _, spec = scene.runs[-1]
        if spec != f"needs {executor.labels[0]}":
            broken.append(f"ROUTE: {name}, which {spec}, is started on {executor.name}, whose"
                          f" labels are {executor.labels}")
            scene.record(broken[-1])

    await scene.start(entries=3, executors=11, cpu=32000, length_ms=lambda task, spec: 200,
                      kinds=["a", "a", "b"], linked=[0])
    for executor in scene.executors:
        scene.on_start[executor] = check
    sending = [asyncio.create_task(send_jobs(front, "b")) for front in range(3)]
    await asyncio.sleep(1)
    old = scene.executors[0]
    if trouble:
        old.end_executor("crash")
    await asyncio.sleep(DOWN_MS / 1000)
    if trouble:
        scene.record("the machine of entry 0 is cut off from the other machines")
        scene.links[0].cut()
        new = s.Executor(scene, old.address, old.control, old.length_ms, old.cpu,
                         ("b", old.labels[1]))
        scene.record(f"{new.name} starts at the address of {old.name}: {new.labels}")
        scene.on_start[new] = check
        await new.start()
    sending += [asyncio.create_task(send_jobs(front, "a")) for front in range(3)]
    await asyncio.sleep(CUT_MS / 1000)
    if trouble:
        scene.record("the cut ends")
        scene.links[0].restore()
    await asyncio.sleep(1.5)
    for task in sending + calls:
        task.cancel()
    return broken


s.main(case, record=os.path.join(FOLDER, "record.txt"),
       trouble=os.environ.get("TROUBLE", "1") != "0")
