import test from "ava";
import { silentLog } from "../logger.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { Harness, testStep } from "./_fixtures_test.ts";
import { SimulatedRuns } from "./_simulated_runs_test.ts";
import { leaderRecordKey } from "./leader_record.ts";
import { stepOf } from "./decisions/_fixtures_test.ts";
import {
  StoredEstimates,
  type StoredEstimatesContext,
} from "./stored_estimates.ts";
import { encodeEstimates, estimatesKey } from "./estimates_record.ts";
import { newRun } from "./run.ts";

const NAME = "cell/0";
const KEY = estimatesKey(NAME);

/** Creates the stored estimates of a leader whose runs are simulated. */
async function openState(
  sim: SimulatedRuns,
  store: FakeStore,
  change: Partial<StoredEstimatesContext> = {},
) {
  const record = { key: leaderRecordKey(NAME), value: "{}" };
  await store.commit([], [{ type: "put", ...record }]);
  const stepDownReasons: string[] = [];
  const context: StoredEstimatesContext = {
    clock: sim.clock,
    metrics: sim.metrics,
    runTimes: sim.runTimes,
    workerSpeeds: sim.workerSpeeds,
    log: silentLog,
    fence: 1,
    isLeading: () => true,
    stepDown: (reason) => stepDownReasons.push(reason),
    jobLog: { stuckMs: () => 0 },
    ...change,
  };
  const { revision } = store;
  const state = new StoredEstimates(context, { name: NAME, revision, store });
  return { state, stepDownReasons };
}

/** Simulates runs on workers of three speeds for 30 seconds. */
function runUnevenWorkers(workers: number): SimulatedRuns {
  const sim = new SimulatedRuns({ workers, slots: 2 });
  const thirds = [1.6, 1, 0.6];
  for (const [index, worker] of sim.workers.entries()) {
    sim.timeFactors.set(worker.id, thirds[index % 3]!);
  }
  sim.begin();
  sim.clock.advance(30_000);
  return sim;
}

test("the next leader has run times and speeds from its first scheduling pass on", async (t) => {
  const store = new FakeStore();
  const before = runUnevenWorkers(60);
  const { state } = await openState(before, store);
  await state.write();
  // All processes have stopped; only the store remains.
  const after = new SimulatedRuns({ workers: 60 });
  const next = await openState(after, store);
  (await next.state.restore())._unsafeUnwrap();
  for (const [index, worker] of after.workers.entries()) {
    t.is(worker.timeFactor, 1, "before the worker is listed");
    after.workerSpeeds.restoreWorker(worker);
    const ratio = worker.timeFactor / before.workers[index]!.timeFactor;
    t.true(Math.abs(ratio - 1) < 0.1, `${worker.id}: ${ratio}`);
  }
  const step = stepOf({});
  for (const quantile of [0.5, 0.9]) {
    const ratio = after.runTimes.expectedMs(step, quantile) /
      before.runTimes.expectedMs(step, quantile);
    t.true(Math.abs(ratio - 1) < 0.15, `${quantile}: ${ratio}`);
  }
  t.is(
    after.runTimes.meanMs("receipts", 1),
    Math.round(before.runTimes.meanMs("receipts", 1)),
  );
});

test("speeds from a record that is minutes old have less weight", async (t) => {
  const store = new FakeStore();
  const before = runUnevenWorkers(60);
  const { state } = await openState(before, store);
  await state.write();
  const after = new SimulatedRuns({ workers: 60 });
  after.clock.advance(before.clock.monotonic() + 600_000);
  const next = await openState(after, store);
  (await next.state.restore())._unsafeUnwrap();
  const [worker] = after.workers;
  after.workerSpeeds.restoreWorker(worker!);
  const known = before.workers[0]!.timeFactor;
  t.true(worker!.timeFactor < 0.9 * known, String(worker!.timeFactor));
});

for (
  const { name, value } of [
    { name: "missing", value: undefined },
    { name: "no JSON", value: "{" },
    { name: "of another shape", value: '{"format":1,"atMs":"now"}' },
    { name: "of another format", value: '{"format":0}' },
    {
      name: "two days old",
      value: encodeEstimates({
        atMs: Date.parse("2025-12-30T00:00:00Z"),
        runTimes: { means: [["receipts", 9_000]], errors: [], classes: [] },
        speeds: [],
      }),
    },
  ]
) {
  test(`learning starts anew if the record is ${name}`, async (t) => {
    const store = new FakeStore();
    if (value !== undefined) {
      await store.commit([], [{ type: "put", key: KEY, value }]);
    }
    const sim = new SimulatedRuns({ workers: 4 });
    const { state } = await openState(sim, store);
    (await state.restore())._unsafeUnwrap();
    t.is(sim.runTimes.meanMs("receipts", 500), 500);
    sim.begin();
    sim.clock.advance(20_000);
    await state.write();
    t.is(JSON.parse(store.entries.get(KEY)!.value).format, 1);
  });
}

test("a leader works although the record cannot be read", async (t) => {
  const store = new FakeStore();
  const sim = new SimulatedRuns({ workers: 4 });
  const { state } = await openState(sim, store);
  store.unavailable = true;
  t.true((await state.restore()).isOk());
});

test("a former leader's write has no effect", async (t) => {
  const store = new FakeStore();
  const { state, stepDownReasons } = await openState(
    runUnevenWorkers(20),
    store,
  );
  const record = { key: leaderRecordKey(NAME), value: '{"fence":2}' };
  await store.commit([], [{ type: "put", ...record }]);
  await state.write();
  t.false(store.entries.has(KEY));
  t.is(stepDownReasons.length, 1);
});

test("nothing is written without new runs, without leadership, or while the store is silent", async (t) => {
  const store = new FakeStore();
  const sim = runUnevenWorkers(20);
  let leading = false;
  let stuckMs = 0;
  const { state } = await openState(sim, store, {
    isLeading: () => leading,
    jobLog: { stuckMs: () => stuckMs },
  });
  const written = store.commits;
  await state.write();
  leading = true;
  stuckMs = 100;
  await state.write();
  t.is(store.commits, written);
  stuckMs = 0;
  await state.write();
  await state.write();
  t.is(store.commits, written + 1);
  sim.clock.advance(1_000);
  await state.write();
  t.is(store.commits, written + 2);
});

test("a failed write is retried", async (t) => {
  const store = new FakeStore();
  const { state } = await openState(runUnevenWorkers(20), store);
  store.unavailable = true;
  await state.write();
  store.unavailable = false;
  await state.write();
  t.true(store.entries.has(KEY));
});

test("a leader writes at most every five seconds", async (t) => {
  const store = new FakeStore();
  const sim = runUnevenWorkers(20);
  const { state } = await openState(sim, store);
  const before = store.commits;
  void state.run();
  await sim.clock.run(21_000);
  t.is(store.commits - before, 4);
  state.close();
  await sim.clock.run(10_000);
  t.is(store.commits - before, 4);
});

test("the record of 245 workers and 20 teams stays below 64 KiB", async (t) => {
  const store = new FakeStore();
  const sim = runUnevenWorkers(245);
  const [worker] = sim.workers;
  const long = "a-team-with-a-rather-long-name-";
  for (let team = 0; team < 20; team++) {
    for (let size = 0; size < 20; size++) {
      const cpuMillis = 2 ** size;
      const amounts = { cpuMillis, memoryMib: 100, accelerators: 0 };
      const step = stepOf({ amounts });
      const ofTeam = { ...step, job: { ...step.job, team: long + team } };
      for (let count = 0; count < 6; count++) {
        const task = step.tasks[0]!;
        const run = newRun(ofTeam, { task, worker: worker!, nowMs: 0 });
        const outcome = { elapsedMs: 123_456 + size, timeFactor: 1 };
        sim.runTimes.recordDone(run, outcome);
      }
    }
  }
  const { state } = await openState(sim, store);
  await state.write();
  const { value } = store.entries.get(KEY)!;
  t.log(`${value.length} bytes`);
  t.true(value.length > 20_000 && value.length < 65_536);
});

test("a cell stores its estimates on a transfer, and the next leader uses them", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const first = await harness.open();
  for (let run = 0; run < 8; run++) {
    const id = `00000000000000b${run}`;
    await harness.submit(first, [testStep()], id);
    await harness.clock.run(200);
    worker.end(`${id}.0.0.0`, "done");
    await harness.clock.run(100);
  }
  // Nothing is written before the first interval has passed.
  t.false(harness.store.entries.has(estimatesKey("cell")));
  const settled = first.quiesce(300);
  await harness.clock.run(300);
  await settled;
  first.close();
  t.regex(
    harness.metrics.render(),
    /^learned_classes 0$/m,
    "this instance no longer leads",
  );
  await harness.open();
  t.regex(harness.metrics.render(), /^learned_classes 3$/m);
});
