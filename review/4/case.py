"""A route is removed while a transaction on it is open whose first statement is still to come."""

import asyncio

import deployment
from deployment import Client, configuration

APPLIED_S = 4.0     # configApplyMs is 3,000
PAUSE_S = 1.5       # transactionIdleMs is 3,000


async def scenario(run):
    await asyncio.sleep(1)
    service, found = run.group.name, []
    for version, host in zip(range(8, 11), run.hosts):
        client = await Client.open(run, host, "orders")
        await client.query("BEGIN")
        changed = configuration(version * 2, service)
        if deployment.is_troubled():
            changed["routes"] = [route for route in changed["routes"] if route["host"] != "orders"]
        await run.store.put("op", "config", changed)
        run.record(f"version {version * 2} has routes {[r['host'] for r in changed['routes']]}")
        await asyncio.sleep(PAUSE_S)
        try:
            await client.query(f"WRITE order{version} placed")
            await client.query("COMMIT")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            run.record(f"the session has ended: {error!r}")
        await run.store.put("op", "config", configuration(version * 2 + 1, service))
        await asyncio.sleep(APPLIED_S)
        client.close()
    tenant = configuration(1, service)["tenants"][0]["name"]
    for member, seen, ident, text in run.group.runs:
        if seen != tenant:
            found.append(f"UNASKED: {member} ran {ident} {text!r} for tenant {seen!r}; the "
                         f"client's key belongs to {tenant!r}")
    return found


deployment.main(".", scenario)
