"""A primary goes dark; the host that replaces it is killed right after its promotion call."""

import asyncio
import os
import signal
import time

import deployment
from deployment import Client

PROMOTE_S = 1.0          # pcfc-tanager: 1,000 ms a promote
RESTART_S = 0.3          # "restarted after a short delay"
PRIMARY_BACK_S = 0.1     # after the promotion call
DARK_LIMIT_S = 7.0       # longest srv_crash of the site
OBSERVED_S = 6.0         # after the promotion call


async def write_for_ever(run, host, acked):
    """Writes one item after the other, and opens another session when one has ended."""
    count = 0
    while True:
        try:
            client = await Client.open(run, host, "orders")
            while True:
                count += 1
                _, signature, failure, _ = await client.query(f"WRITE {host.name}-{count} x{count}")
                if failure is None and signature and signature.startswith("sig."):
                    acked[signature.rsplit(".", 1)[1]] = (time.monotonic(), host.name)
                await asyncio.sleep(0.03 if failure is None else 0.1)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)


async def scenario(run):
    group, acked = run.group, {}
    old = group.members[0]
    tasks = [asyncio.create_task(write_for_ever(run, host, acked)) for host in run.hosts]
    await asyncio.sleep(2)
    called, killed = asyncio.Event(), []

    def on_promotion(body, headers):
        run.record(f"promotion call of {headers['duty-holder']} "
                   f"(token {headers['fencing-token']}) for {body['id']}")
        if called.is_set():
            return
        called.set()
        if deployment.is_troubled() and os.environ.get("KILL", "1") != "0":
            holder = next(host for host in run.hosts if host.name == headers["duty-holder"])
            killed.append(holder)
            # The call has been accepted; the answer may still arrive.
            asyncio.get_running_loop().call_later(
                0.004, holder.process.send_signal, signal.SIGKILL)

    run.store.on_promotion = on_promotion
    if deployment.is_troubled():
        run.record(f"{old.id} goes dark")
        old.set_dark(True)
        await asyncio.wait_for(called.wait(), DARK_LIMIT_S)
    await asyncio.sleep(PRIMARY_BACK_S)
    if old.is_dark:
        old.set_dark(False)
        run.record(f"{old.id} is back, as {old.role} of term {old.term}")
    await asyncio.sleep(RESTART_S - PRIMARY_BACK_S)
    for host in killed:
        host.restart()
        run.record(f"{host.name} was killed, and is started again")
    await asyncio.sleep(OBSERVED_S)
    for task in tasks:
        task.cancel()
    row = run.store.value("groups", group.name)
    run.record(f"row of the group: {row}")
    found = late_commits(run, acked, {host.name for host in killed})
    done = [ident for ident in acked if any(ident == commit[4] for commit in group.commits)]
    run.record(f"{len(done)} acknowledged writes, {len(group.promotions)} promotions")
    return found


def late_commits(run, acked, disrupted):
    """Acknowledged commits at a primary of an earlier term after its successor led."""
    found = []
    for at, member, term, number, ident in run.group.commits:
        successors = [(led_at, leader) for led_at, leader, led in run.group.promotions
                      if led > term and led_at < at]
        if successors and ident in acked and acked[ident][1] not in disrupted:
            led_at, leader = successors[0]
            found.append(f"ONE: commit {term}.{number} ({ident}) at {member} {at - led_at:.3f} s "
                         f"after {leader} led, acknowledged through {acked[ident][1]}")
    return found


deployment.main(".", scenario, promote_s=PROMOTE_S, lag_s=0.02)
