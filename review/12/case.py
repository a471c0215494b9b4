"""Silent connections to the store, and a configuration that drops a route."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-3"))
from standin import CONFIG_APPLY_S, CONTACT_S, TROUBLE, Client, main, now


async def run(d):
    d.route("keep", "db0", "own")
    d.route("gone", "db1", "own")
    d.configure()
    await d.start_daemons()
    sent, stop = {}, False

    async def caller(daemon, database):
        """Short sessions: each sends one read and ends."""
        while not stop:
            client = Client(daemon, database)
            try:
                if await client.open() == "READY":
                    request, at, _ = await client.query("FETCH item1")
                    sent[request] = (at, daemon.name, database)
            except (OSError, asyncio.TimeoutError):
                pass
            client.close()
            await asyncio.sleep(0.04)

    tasks = [asyncio.create_task(caller(daemon, database))
             for daemon in d.daemons for database in ("keep", "gone")]
    await asyncio.sleep(3)
    d.route("keep", "db0", "own", timeout_ms=1200)
    d.configure()
    await asyncio.sleep(0.25)
    silent_at = now()
    if TROUBLE:
        d.record.say(f"{d.store.silence()} open connections to the store go silent; new ones work")
    await asyncio.sleep(0.1)
    del d.routes["gone"]
    dropped_at = d.configure()
    judged_from = max(dropped_at + CONFIG_APPLY_S, silent_at + CONTACT_S if TROUBLE else 0)
    await asyncio.sleep(9)
    stop = True
    await asyncio.gather(*tasks)
    ran = {request: at for group in d.groups for member in group.members
           for at, request, _ in member.runs}
    late = sorted((at, request, name) for request, (at, name, database) in sent.items()
                  if database == "gone" and at > judged_from and request in ran)
    d.record.say(f"route acknowledged as dropped at {dropped_at:.3f}; judged are requests sent "
                 f"after {judged_from:.3f}")
    d.record.say(f"{len(late)} of them ran by the dropped route")
    if late:
        d.record.say(f"first sent at {late[0][0]:.3f}, last at {late[-1][0]:.3f}, by "
                     f"{len({name for _, _, name in late})} daemons")
    kept = [at for at, _, database in sent.values() if database == "keep" and at > judged_from]
    if not kept:
        raise RuntimeError("no request of the other database was sent")
    return not late


main(Path(__file__).parent, run)
