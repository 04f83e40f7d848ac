"""A member's answer is cut off within its last line, and the session reads again."""

import asyncio

import deployment
from deployment import Client

ROUNDS = 12
CUT_BYTES = 3          # of the last line: the line end and one digit of the position
READ_LIMIT_S = 1.0


async def scenario(run):
    group = run.group
    to_cut = set()

    def cut_reply(member, ident, text, reply):
        if ident in to_cut:
            run.record(f"{member.id} cuts its answer to {ident}: {reply!r} "
                       f"becomes {reply[:-CUT_BYTES]!r}")
            return reply[:-CUT_BYTES], True
        return reply, False

    group.cut_reply = cut_reply
    # Host 1 has a replica in its own zone.
    host = run.hosts[1]
    client = await Client.open(run, host, "dispatch")
    # The proxy learns positions of the primary, as it does under load.
    for _ in range(20):
        await client.query("READ warm")
        await client.query("WRITE warm x")
        await asyncio.sleep(0.15)
    found = []
    for number in range(ROUNDS):
        item, data = f"slip{number}", f"amended{number}"
        ident = run.next_id()
        if deployment.is_troubled():
            to_cut.add(ident)
        _, signature, failure, _ = await client.query(f"WRITE {item} {data}", ident)
        if failure or not signature:
            continue
        rows, signature, failure, _ = await client.query(f"READ {item}")
        if failure is None and signature and rows != [data]:
            found.append(f"STALE: the session's commit {ident} of {item}={data} was acknowledged, "
                         f"and its next read got {rows} ({signature})")
        await asyncio.sleep(0.2)
    return found


deployment.main(".", scenario, lag_s=0.02, first_number=1200)
