import test from "ava";
import { Fleet } from "../fleet.ts";
import { newRun } from "../run.ts";
import {
  LARGE_FLEET,
  LARGE_WORKER,
  largeFleet,
  openWorker,
  stepOf,
} from "./_fixtures_test.ts";
import { availableCapacity, Claims, hasCapacity, RoomIndex } from "./room.ts";

const SERVICE = "copier";

function cores(cpuMillis: number) {
  return { cpuMillis, memoryMib: 0, accelerators: 0 };
}

test("a look in a fleet that fills up begins at the workers with enough free", (t) => {
  const fleet = largeFleet((index) => index % 64 * 1_000);
  const index = new RoomIndex(fleet, 0);
  const found = index.withFreeCpu(SERVICE, 60_000);
  t.is(
    found.length,
    [...fleet.workers.values()].filter((worker) =>
      LARGE_WORKER.cpuMillis - worker.used.cpuMillis >= 60_000
    ).length,
  );
  const free = found.map(({ used }) => used.cpuMillis);
  t.deepEqual(free, [...free].sort((a, b) => b - a), "the fullest first");
});

test("no worker with room is left out after others were filled", (t) => {
  const fleet = largeFleet(() => 0);
  const index = new RoomIndex(fleet, 0);
  t.is(index.workers(SERVICE).length, LARGE_FLEET);
  const step = stepOf({ amounts: cores(40_000) });
  const [first] = index.withFreeCpu(SERVICE, 40_000);
  const place = { task: step.tasks[0]!, worker: first!, nowMs: 0 };
  fleet.take(newRun(step, place));
  const later = stepOf({ amounts: cores(30_000) });
  const found = index.withFreeCpu(SERVICE, 30_000);
  const open = found.filter((worker) =>
    hasCapacity(later, worker, new Claims())
  );
  t.is(open.length, LARGE_FLEET - 1);
});

test("workers that take no work are not in the index, and count nowhere", (t) => {
  const fleet = new Fleet();
  openWorker(fleet, "w1");
  openWorker(fleet, "w2", { draining: true });
  openWorker(fleet, "w3").reachable = false;
  openWorker(fleet, "w4").avoidUntilMs = 1_000;
  const index = new RoomIndex(fleet, 500);
  t.deepEqual(index.workers(SERVICE).map(({ id }) => id), ["w1"]);
  t.deepEqual([...index.sizes()], [
    [SERVICE, { cpuMillis: 4_000, usedMillis: 0 }],
  ]);
  t.deepEqual(index.workers("printer"), []);
});

test("rooms that are kept add up, and are not open to others", (t) => {
  const worker = openWorker(new Fleet(), "w1");
  const claims = new Claims();
  claims.add(new Map([["w1", cores(1_000)]]));
  t.is(availableCapacity(worker, claims).cpuMillis, 3_000);
  claims.add(new Map([["w1", cores(2_000)]]));
  t.is(availableCapacity(worker, claims).cpuMillis, 1_000);
});
