import test from "ava";
import { ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { headKey, segmentPrefix } from "./layout.ts";
import type { JournalRecord } from "./records.ts";
import { Segment, SEGMENT_LIMITS, type SegmentLimits } from "./segment.ts";
import { statusOf } from "./work_state.ts";
import { WorkTable } from "./work_table.ts";
import { WriteBudget } from "./write_budget.ts";

const SETTLE_MS = 3000;

class SegmentHarness {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  #ids = 0;

  async open(
    owner: string,
    fence: number,
    options: {
      limits?: Partial<SegmentLimits>;
      perSecond?: number;
      onOpen?: (store: MemoryStore) => void;
    } = {},
  ) {
    const store = new MemoryStore(this.service);
    options.onOpen?.(store);
    const table = new WorkTable();
    const losses: string[] = [];
    const opened = await this.runUntilDone(Segment.open({
      store,
      clock: this.clock,
      budget: new WriteBudget(this.clock, {
        perSecond: options.perSecond ?? 1000,
        burst: 1,
      }),
      claim: {
        segment: "a",
        owner,
        fence,
        newWriteId: () => `${owner}-${this.#ids++}`,
      },
      limits: { ...SEGMENT_LIMITS, ...options.limits },
      table,
      onLost: () => losses.push(owner),
    }));
    return { store, table, losses, opened };
  }

  async openOk(...args: Parameters<SegmentHarness["open"]>) {
    const { opened, ...rest } = await this.open(...args);
    return { segment: opened._unsafeUnwrap(), ...rest };
  }

  async runUntilDone<T>(pending: PromiseLike<T>): Promise<T> {
    const started = Promise.resolve(pending);
    await this.clock.run(SETTLE_MS, 10);
    return await started;
  }
}

function submitted(work: number, payload = "x"): JournalRecord {
  return {
    type: "submitted",
    work,
    team: "t",
    workload: "w",
    payload,
    count: 1,
    gang: false,
    at: 0,
  };
}

test("records appended together are written in one call", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1);
  const before = harness.service.calls;
  const appends = Array.from(
    { length: 100 },
    (_, work) => segment.append([submitted(work)]),
  );
  const results = await harness.runUntilDone(Promise.all(appends));
  t.true(results.every((result) => result.isOk()));
  t.is(harness.service.calls - before, 1);
});

test("the next owner replays the acknowledged records", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1);
  await harness.runUntilDone(
    segment.append([submitted(segment.takeSequence())]),
  );
  await harness.runUntilDone(
    segment.append([submitted(segment.takeSequence())]),
  );
  const next = await harness.openOk("b", 2);
  t.is(next.table.size, 2);
  t.is(next.segment.takeSequence(), 2);
});

test("a segment can be claimed while its owner compacts it", async (t) => {
  const harness = new SegmentHarness();
  const limits: Partial<SegmentLimits> = { maxBatches: 1, maxDeadBytes: 0 };
  const { segment } = await harness.openOk("a", 1, { limits });
  await harness.runUntilDone(segment.append([submitted(0)]));
  const next = await harness.open("b", 2, {
    limits,
    onOpen: (store) => {
      const list = store.list.bind(store);
      let appended = false;
      store.list = (prefix) =>
        ResultAsync.fromSafePromise((async () => {
          if (appended) return;
          appended = true;
          await Promise.all([segment.append([submitted(1)])]);
          await sleep(harness.clock, 100);
        })()).andThen(() => list(prefix));
    },
  });
  t.true(next.opened.isOk());
  t.is(next.table.size, 2);
});

test("a previous owner cannot append", async (t) => {
  const harness = new SegmentHarness();
  const old = await harness.openOk("a", 1);
  const next = await harness.openOk("b", 2);
  const result = await harness.runUntilDone(old.segment.append([submitted(0)]));
  t.is(result._unsafeUnwrapErr().type, "segmentLost");
  t.deepEqual(old.losses, ["a"]);
  t.is(old.table.size, 0);
  const own = await harness.runUntilDone(next.segment.append([submitted(0)]));
  t.true(own.isOk());
});

test("an owner with an older fence cannot claim the segment", async (t) => {
  const harness = new SegmentHarness();
  await harness.openOk("b", 2);
  const { opened } = await harness.open("a", 1);
  t.is(opened._unsafeUnwrapErr().type, "segmentLost");
});

test("only one of two claimants with the same fence succeeds", async (t) => {
  const harness = new SegmentHarness();
  const [first, second] = await Promise.all([
    harness.open("b", 2),
    harness.open("c", 2),
  ]);
  const wins = [first, second].filter(({ opened }) => opened.isOk());
  t.is(wins.length, 1);
});

test("the outcome of a write with a lost answer is read back", async (t) => {
  const harness = new SegmentHarness();
  const { segment, store, table } = await harness.openOk("a", 1);
  store.faults.lostReplies = 1;
  const result = await harness.runUntilDone(segment.append([submitted(0)]));
  t.true(result.isOk());
  t.is(table.size, 1);
  const again = await harness.runUntilDone(segment.append([submitted(1)]));
  t.true(again.isOk());
  t.is((await harness.openOk("b", 2)).table.size, 2);
});

test("a write that had no effect is retried after a lost answer", async (t) => {
  const harness = new SegmentHarness();
  const { segment, store, table } = await harness.openOk("a", 1);
  const commit = store.commit.bind(store);
  let drops = 2;
  store.commit = (conditions, writes) => {
    if (drops-- <= 0) return commit(conditions, writes);
    store.faults.lostReplies = 1;
    return commit([{ key: "none", revision: 9 }], writes);
  };
  const result = await harness.runUntilDone(segment.append([submitted(0)]));
  t.true(result.isOk());
  t.is(table.size, 1);
});

test("an append of unknown outcome is resolved after an outage", async (t) => {
  const harness = new SegmentHarness();
  const { segment, store, table } = await harness.openOk("a", 1);
  store.faults.lostReplies = 1;
  const get = store.get.bind(store);
  store.get = (key) => {
    store.cut();
    return get(key);
  };
  const pending = segment.append([submitted(0)]);
  await harness.clock.run(SETTLE_MS);
  const refused = await segment.append([submitted(1)]);
  t.is(refused._unsafeUnwrapErr().type, "storeAway");
  store.get = get;
  store.heal();
  t.true((await harness.runUntilDone(pending)).isOk());
  t.is(table.size, 1);
});

const unresolvedAppends = [
  { name: "written", drop: false, expected: "ok" },
  { name: "not written", drop: true, expected: "segmentLost" },
];

for (const { name, drop, expected } of unresolvedAppends) {
  test(`an append of unknown outcome at a takeover: ${name}`, async (t) => {
    const harness = new SegmentHarness();
    const { segment, store } = await harness.openOk("a", 1);
    store.faults.lostReplies = 1;
    const commit = store.commit.bind(store);
    const get = store.get.bind(store);
    store.commit = (conditions, writes) =>
      commit(drop ? [{ key: "none", revision: 9 }] : conditions, writes);
    store.get = (key) => {
      store.cut();
      return get(key);
    };
    const pending = segment.append([submitted(0)]);
    await harness.clock.run(SETTLE_MS);
    const next = await harness.openOk("b", 2);
    t.is(next.table.size, drop ? 0 : 1);
    store.get = get;
    store.heal();
    const result = await harness.runUntilDone(pending);
    t.is(result.isOk() ? "ok" : result.error.type, expected);
  });
}

test("appends fail at once during an outage and succeed after it", async (t) => {
  const harness = new SegmentHarness();
  const { segment, store, table } = await harness.openOk("a", 1);
  store.cut();
  const first = await harness.runUntilDone(segment.append([submitted(0)]));
  t.is(first._unsafeUnwrapErr().type, "storeAway");
  store.heal();
  const second = await harness.runUntilDone(segment.append([submitted(1)]));
  t.true(second.isOk());
  t.is(table.size, 1);
});

test("the queue is limited", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1, {
    limits: { maxQueueBytes: 500 },
  });
  const appends = Array.from(
    { length: 10 },
    (_, work) => segment.append([submitted(work)]),
  );
  const results = await harness.runUntilDone(Promise.all(appends));
  const refused = results.filter((result) => result.isErr());
  t.true(refused.length > 0 && refused.length < 10);
  t.true(refused.every((result) => result.error.type === "journalFull"));
});

test("records larger than a store value are rejected", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1);
  const result = await segment.append([submitted(0, "x".repeat(800_000))]);
  t.is(result._unsafeUnwrapErr().type, "recordsTooLarge");
});

test("writes stay within the budget", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1, { perSecond: 10 });
  const before = harness.service.calls;
  for (let work = 0; work < 200; work++) {
    segment.append([submitted(work)]);
    await harness.clock.run(10);
  }
  await harness.clock.run(SETTLE_MS);
  t.true(harness.service.calls - before <= 2 * 10 + 2);
});

test("compaction keeps the live works", async (t) => {
  const harness = new SegmentHarness();
  const limits: Partial<SegmentLimits> = { maxBatches: 8, maxDeadBytes: 0 };
  const { segment, table } = await harness.openOk("a", 1, { limits });
  for (let work = 0; work < 100; work++) {
    segment.append([submitted(segment.takeSequence())]);
    if (work % 10 !== 0) {
      segment.append([{ type: "cancelled", works: [work], at: 1 }]);
    }
    await harness.clock.run(20);
    if (work % 10 !== 0) table.remove(work);
  }
  t.true(segment.batches <= 10);
  const next = await harness.openOk("b", 2, { limits });
  const live = [...next.table.works()].filter((work) =>
    statusOf(work) === "waiting"
  );
  t.deepEqual(
    live.map((work) => work.sequence).sort((a, b) => a - b),
    [0, 10, 20, 30, 40, 50, 60, 70, 80, 90],
  );
  t.is(next.segment.takeSequence(), 100);
});

test("compaction rewrites more works than fit into one batch", async (t) => {
  const harness = new SegmentHarness();
  const limits: Partial<SegmentLimits> = {
    maxBatches: 2,
    maxDeadBytes: 0,
    maxBatchBytes: 2000,
  };
  const { segment } = await harness.openOk("a", 1, { limits });
  for (let work = 0; work < 40; work++) {
    segment.append([submitted(segment.takeSequence(), "x".repeat(300))]);
    if (work % 5 === 4) await harness.clock.run(50);
  }
  await harness.clock.run(SETTLE_MS);
  t.is((await harness.openOk("b", 2, { limits })).table.size, 40);
});

test("an interrupted compaction loses no work", async (t) => {
  for (let fail = 1; fail < 30; fail++) {
    const harness = new SegmentHarness();
    const limits: Partial<SegmentLimits> = {
      maxBatches: 3,
      maxDeadBytes: 0,
      retryDelayMs: 20,
    };
    const { segment, store } = await harness.openOk("a", 1, { limits });
    const commit = store.commit.bind(store);
    let commits = 0;
    store.commit = (conditions, writes) => {
      if (++commits === fail) store.faults.lostReplies = 1;
      if (commits === fail + 1) store.cut();
      return commit(conditions, writes);
    };
    let written = 0;
    for (let work = 0; work < 15; work++) {
      const pending = segment.append([submitted(segment.takeSequence())]);
      pending.map(() => written++);
      await harness.clock.run(30);
    }
    const next = await harness.openOk("b", 2, { limits });
    t.is(next.table.size, written, `write ${fail}`);
  }
});

const unreadableBatches = [
  { name: "damaged batch", edit: "{", type: "journalDamaged" },
  {
    name: "batch of a later release",
    edit: JSON.stringify({ version: 99, write: "x" }),
    type: "journalNewer",
  },
  { name: "missing batch", edit: undefined, type: "batchMissing" },
] as const;

for (const { name, edit, type } of unreadableBatches) {
  test(`a ${name} fails the claim and leaves the store unchanged`, async (t) => {
    const harness = new SegmentHarness();
    const { segment, store } = await harness.openOk("a", 1);
    await harness.runUntilDone(segment.append([submitted(0)]));
    const key = `${segmentPrefix("a")}000000000000`;
    await store.commit([], [
      edit === undefined
        ? { type: "delete", key }
        : { type: "put", key, value: edit },
    ]);
    const before = new Map(harness.service.rows);
    const { opened } = await harness.open("b", 2);
    t.is(opened._unsafeUnwrapErr().type, type);
    t.deepEqual(new Map(harness.service.rows), before);
    t.true(before.has(headKey("a")));
  });
}

test("closing writes the queued records", async (t) => {
  const harness = new SegmentHarness();
  const { segment } = await harness.openOk("a", 1);
  const pending = segment.append([submitted(0)]);
  await harness.runUntilDone(segment.close());
  t.true((await pending).isOk());
  const late = await segment.append([submitted(1)]);
  t.is(late._unsafeUnwrapErr().type, "segmentClosed");
});
