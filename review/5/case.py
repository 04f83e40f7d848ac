"""A client smuggles a statement inside another one: the data holds a bare line feed."""

import asyncio

import deployment
from deployment import Client

SMUGGLED = "0badc0de0badc0de"


async def scenario(run):
    await asyncio.sleep(1)
    for index, host in enumerate(run.hosts):
        client = await Client.open(run, host, "orders")
        await client.query(f"WRITE note{index} plain")
        separator = "\n" if deployment.is_troubled() else " "
        try:
            await client.query(f"WRITE note{index} gate closed{separator}"
                               f"QUERY {SMUGGLED}{index} WRITE order{index} cancelled")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            run.record(f"the session has ended: {error!r}")
        await asyncio.sleep(0.5)
        client.close()
    return [f"UNASKED: {member} ran {ident} {text!r} for {tenant}; its client sent "
            f"{run.sent[ident]!r}" if ident in run.sent else
            f"UNASKED: {member} ran {ident} {text!r} for {tenant}; no client sent this id"
            for member, tenant, ident, text in run.group.runs if run.sent.get(ident) != text]


deployment.main(".", scenario)
