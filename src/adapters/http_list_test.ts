import test, { type ExecutionContext } from "ava";
import { StandinList } from "../../standins/list/list.ts";
import type { ListedWorker } from "../../standins/list/inventory.ts";
import { systemClock } from "../clock.ts";
import { eventually } from "./_eventually_test.ts";
import { HttpList } from "./http_list.ts";

const worker: ListedWorker = {
  id: "w1",
  address: "127.0.0.1:1",
  zone: "z",
  rack: "r",
  capacity: { cpuMillis: 64_000, memoryMib: 1024, accelerators: 0, slots: 8 },
  connections: 60,
  state: "live",
};
const peer = { peerAddress: "127.0.0.1:2", state: "live" } as const;

async function openList(
  t: ExecutionContext,
  timeoutMs = 20_000,
): Promise<{ service: StandinList; list: HttpList }> {
  const service = new StandinList();
  await service.listen();
  const { address } = service;
  const list = new HttpList({ address, clock: systemClock, timeoutMs });
  t.teardown(async () => {
    await list.close();
    await service.close();
  });
  return { service, list };
}

test("a listing contains presence and capacity", async (t) => {
  const { service, list } = await openList(t);
  await service.control({ workers: [worker], instances: [peer] });
  const { state: _, ...described } = worker;
  t.deepEqual((await list.read())._unsafeUnwrap(), {
    workers: [{ worker: described, presence: "live" }],
    instances: [{ peerAddress: peer.peerAddress, presence: "live" }],
  });
});

test("a leaving worker is listed and a removed one is not", async (t) => {
  const { service, list } = await openList(t);
  await service.control({ workers: [worker] });
  await service.control({ leaveWorkers: ["w1"] });
  const leaving = (await list.read())._unsafeUnwrap();
  await service.control({ removeWorkers: ["w1"] });
  const gone = (await list.read())._unsafeUnwrap();
  t.is(leaving.workers[0]?.presence, "leaving");
  t.is(gone.workers.length, 0);
});

test("a new worker appears after the lag of the list", async (t) => {
  const { service, list } = await openList(t);
  await service.control({ lagMs: 60_000, workers: [worker] });
  t.is((await list.read())._unsafeUnwrap().workers.length, 0);
  await service.control({ lagMs: 100 });
  await eventually(async () =>
    (await list.read())._unsafeUnwrap().workers.length === 1
  );
});

const faults = {
  "a refused connection": { outage: "refuse" },
  "a hung service": { outage: "hang" },
  "an invalid response": { garbage: true },
} as const;

for (const [name, fault] of Object.entries(faults)) {
  test(`${name} fails a read as listUnavailable and a later read succeeds`, async (t) => {
    const { service, list } = await openList(t, 300);
    await service.control(fault);
    const failed = await list.read();
    t.is(failed._unsafeUnwrapErr().type, "listUnavailable");
    await service.control({ outage: false, garbage: false });
    await eventually(async () => (await list.read()).isOk());
  });
}
