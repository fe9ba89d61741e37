"""A job's spec has a character that ends strings in C."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "scene-2"))

import scene as s


async def case(scene, trouble):
    await scene.start(entries=1, executors=1, length_ms=lambda task, spec: 60)
    spec = "stock check" + ("\0" if trouble else " ") + "basket 17"
    status, answer = await scene.submit(s.new_id(), spec=spec, estimate_ms=60,
                                        deadline_ms=1500)
    scene.record(f"client: sent the spec {spec!r}")
    broken = []
    for _, executor, what, name, number, got in scene.runs:
        if what != "start":
            continue
        scene.record(f"{executor.name}: {name} run {number} has the spec {got!r}")
        if got != spec:
            broken.append(f"UNASKED: {name} run {number} starts with the spec {got!r},"
                          f" sent was {spec!r}; the client got {status} {answer}")
    if not trouble and status != 200:
        broken.append(f"the job ends with {status} {answer}")
    return broken


s.main(case, record=os.path.join(FOLDER, "record.txt"),
       trouble=os.environ.get("TROUBLE", "1") != "0")
