"""An executor crashes and starts again as another kind, while tasks wait for room."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "scene-2"))

import scene as s

DOWN_MS = 3200
LATENCY_MS = 0.9
TASK_MS = 900
# Between the jobs at one entry.
INTERVAL_MS = 160
# One at a time, until the rule breaks.
CRASHES = [0, 1, 3, 4]


async def case(scene, trouble):
    broken = []
    calls = []

    async def send_jobs(front):
        while True:
            calls.append(asyncio.create_task(scene.submit(
                s.new_id(), front=front, spec="needs a", count=4, cpu=1600,
                estimate_ms=TASK_MS, deadline_ms=1500, requires="a")))
            await asyncio.sleep(INTERVAL_MS / 1000)

    def check():
        _, executor, _, name, _, spec = scene.runs[-1]
        if "a" not in executor.labels:
            broken.append(f"ROUTE: {name}, which {spec}, is started on {executor.name}, whose"
                          f" labels are {executor.labels}")
            scene.record(broken[-1])

    def crash_at_next_start(executor):
        def run_start(call):
            if executor.up:
                scene.record(f"{executor.name}: told to start {call['task']}")
                executor.end_executor("crashed")

        executor.run_start = run_start

    async def restart(old):
        new = s.Executor(scene, old.address, old.control, old.length_ms, old.cpu,
                         ("b", old.labels[1]))
        scene.executors[scene.executors.index(old)] = new
        scene.on_start[new] = check
        scene.record(f"{new.name} starts at the address of {old.name}: {new.labels}")
        await new.start()

    await scene.start(entries=4, executors=11, cpu=16000, length_ms=lambda task, spec: TASK_MS,
                      kinds=["a", "a", "b"], latency_ms=LATENCY_MS)
    for executor in scene.executors:
        scene.on_start[executor] = check
    sending = [asyncio.create_task(send_jobs(front)) for front in range(4)]
    await asyncio.sleep(2.5)
    for i in CRASHES:
        old = scene.executors[i]
        if trouble:
            crash_at_next_start(old)
            if not await scene.until(lambda: not old.up):
                raise s.CannotRun("no task is started on the executor that is to crash")
        await asyncio.sleep(DOWN_MS / 1000)
        if trouble:
            await restart(old)
        await asyncio.sleep(1)
        if broken:
            break
    for task in sending + calls:
        task.cancel()
    return broken


s.main(case, record=os.path.join(FOLDER, "record.txt"),
       trouble=os.environ.get("TROUBLE", "1") != "0")
