import test, { type ExecutionContext } from "ava";
import { StandinList } from "../../standins/list/list.ts";
import type { ListedWorker } from "../../standins/list/truth.ts";
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

async function open(
  t: ExecutionContext,
  timeoutMs = 20_000,
): Promise<{ platform: StandinList; list: HttpList }> {
  const platform = new StandinList();
  await platform.listen();
  const { address } = platform;
  const list = new HttpList({ address, clock: systemClock, timeoutMs });
  t.teardown(async () => {
    await list.close();
    await platform.close();
  });
  return { platform, list };
}

test("the list tells presence and capacity", async (t) => {
  const { platform, list } = await open(t);
  await platform.control({ workers: [worker], instances: [peer] });
  const { state: _, ...described } = worker;
  t.deepEqual((await list.read())._unsafeUnwrap(), {
    workers: [{ worker: described, presence: "live" }],
    instances: [{ peerAddress: peer.peerAddress, presence: "live" }],
  });
});

test("leaving and gone workers differ", async (t) => {
  const { platform, list } = await open(t);
  await platform.control({ workers: [worker] });
  await platform.control({ leaveWorkers: ["w1"] });
  const leaving = (await list.read())._unsafeUnwrap();
  await platform.control({ removeWorkers: ["w1"] });
  const gone = (await list.read())._unsafeUnwrap();
  t.is(leaving.workers[0]?.presence, "leaving");
  t.is(gone.workers.length, 0);
});

test("the list lags", async (t) => {
  const { platform, list } = await open(t);
  await platform.control({ lagMs: 60_000, workers: [worker] });
  t.is((await list.read())._unsafeUnwrap().workers.length, 0);
  await platform.control({ lagMs: 100 });
  await eventually(async () =>
    (await list.read())._unsafeUnwrap().workers.length === 1
  );
});

const faults = {
  "a refused reading": { outage: "refuse" },
  "a hung reading": { outage: "hang" },
  "garbage": { garbage: true },
} as const;

for (const [name, fault] of Object.entries(faults)) {
  test(`${name} is unavailable, and passes`, async (t) => {
    const { platform, list } = await open(t, 300);
    await platform.control(fault);
    const failed = await list.read();
    t.is(failed._unsafeUnwrapErr().type, "listUnavailable");
    await platform.control({ outage: false, garbage: false });
    await eventually(async () => (await list.read()).isOk());
  });
}
