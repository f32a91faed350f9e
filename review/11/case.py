"""RECOVER: entries that name no host take the place of all hosts at a start."""

import itertools
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_3 import *

ROUTE = ("198.18.0.1", 443)
RECOVERY = 12.0
DOWN = 1.2
MEASURED = 4.0


def case(folder, trouble):
    world = World(folder, ["a", "b", "c"], 2)
    record = world.record
    try:
        world.put_config(1, [(*ROUTE, "web")], ["web"])
        world.hosts = [Host(world, 0x51A0000000 + n, "web", "abc"[n % 3]) for n in range(6)]
        time.sleep(1)
        world.start_vms()
        clients = [world.client() for _ in range(6)]
        numbers = itertools.count()
        is_over = threading.Event()
        results = []

        def use(client):
            while not is_over.is_set():
                sent = record.now()
                flow = client.flow(ROUTE)
                answer = flow.open() and flow.request(f"request-{next(numbers)}")
                flow.close()
                results.append((sent, bool(answer)))
                time.sleep(0.08)

        threads = [threading.Thread(target=use, args=(c,), daemon=True) for c in clients]
        for t in threads:
            t.start()
        time.sleep(STABLE_WINDOW + 1)
        if trouble:
            for host in world.hosts:
                odd = dict(host.spec(), service="inventory")
                world.store.put("servers", f"copy-of-{host.id}", odd)
            record.write("another writer: copies of all entries at servers/copy-of-ID, "
                         "each with the service inventory")
        time.sleep(3)
        fault = record.now()
        for vm in world.vms:
            vm.process.kill()
            vm.process.wait()
        record.write("the processes of all machines are killed")
        time.sleep(DOWN)
        for vm in world.vms:
            vm.start()
        back = record.now()
        time.sleep(RECOVERY + MEASURED)
        is_over.set()
        for t in threads:
            t.join()
        share = lambda found: sum(found) / max(1, len(found))
        before = share([ok for at, ok in results if fault - 4 <= at < fault - 1])
        found = [ok for at, ok in results if at > back + RECOVERY]
        after = share(found)
        record.write(f"served: {before:.3f} before the fault, {after:.3f} of {len(found)} requests "
                     f"sent later than {RECOVERY:.0f} s after the machines were back")
        print(f"served: {before:.3f} before, {after:.3f} of {len(found)} after")
        if before >= 0.25 and found and after < 0.25:
            return [f"RECOVER: {after:.3f} of the requests are served, {before:.3f} were before"]
        return []
    finally:
        world.close()


main(case)
