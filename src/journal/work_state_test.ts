import test from "ava";
import fc from "fast-check";
import { decodeBatch, encodeBatch, type JournalRecord } from "./records.ts";
import { isFinished, statusOf } from "./work_state.ts";
import { WorkTable } from "./work_table.ts";

const SEED = 20260101;
const WORKS = 2;
const TASKS = 2;

const at = fc.nat(100);
const work = fc.nat(WORKS - 1);
const task = fc.nat(TASKS - 1);
const attempt = fc.constantFrom("1", "2");

const outcome = fc.oneof(
  fc.record({ type: fc.constant("succeeded" as const), result: fc.string() }),
  fc.record({ type: fc.constant("failed" as const), detail: fc.string() }),
  fc.record({
    type: fc.constant("stopped" as const),
    checkpoint: fc.string(),
  }),
  fc.record({ type: fc.constant("notStarted" as const) }),
  fc.record({ type: fc.constant("lost" as const) }),
);

const record: fc.Arbitrary<JournalRecord> = fc.oneof(
  fc.record({
    type: fc.constant("attempt" as const),
    work,
    task,
    attempt,
    worker: fc.constant("w"),
    fence: fc.nat(9),
    at,
  }),
  fc.record({
    type: fc.constant("ended" as const),
    work,
    task,
    attempt,
    outcome,
    at,
  }),
  fc.record({
    type: fc.constant("parked" as const),
    work,
    task,
    cause: fc.constant("attemptsSpent" as const),
    detail: fc.string(),
    at,
  }),
  fc.record({
    type: fc.constant("cancelled" as const),
    works: fc.array(work, { maxLength: WORKS }),
    at,
  }),
  fc.record({
    type: fc.constant("resumed" as const),
    work,
    by: fc.constantFrom("r1", "r2"),
    at,
  }),
);

const history = fc.array(record, { maxLength: 40, size: "max" });

const submissions: JournalRecord[] = Array.from(
  { length: WORKS },
  (_, sequence) => ({
    type: "submitted",
    work: sequence,
    team: "t",
    workload: "w",
    payload: "",
    count: TASKS,
    gang: false,
    at: 0,
  }),
);

function tableOf(batches: readonly (readonly JournalRecord[])[]): WorkTable {
  const table = new WorkTable();
  batches.forEach((records, batch) => {
    for (const entry of records) table.apply(batch, entry);
  });
  return table;
}

test("a decoded batch equals the encoded one", (t) => {
  fc.assert(
    fc.property(history, (records) => {
      const batch = { write: "w", records: [...submissions, ...records] };
      const read = decodeBatch(encodeBatch(batch))._unsafeUnwrap();
      t.deepEqual(read, batch);
    }),
    { seed: SEED },
  );
});

test("snapshots replace all earlier records", (t) => {
  fc.assert(
    fc.property(history, history, (before, after) => {
      const whole = tableOf([submissions, before, after]);
      const half = tableOf([submissions, before]);
      const snapshots = half.snapshots([0], Infinity);
      const compacted = tableOf([before, snapshots, after]);
      t.deepEqual([...compacted.works()], [...whole.works()]);
    }),
    { seed: SEED },
  );
});

test("a succeeded task never changes", (t) => {
  fc.assert(
    fc.property(history, (records) => {
      const table = tableOf([submissions]);
      for (const entry of records) {
        const before = [...table.works()];
        table.apply(1, entry);
        for (const old of before) {
          const now = table.get(old.sequence);
          old.tasks.forEach((state, index) => {
            if (state.type === "succeeded") {
              t.is(now?.tasks[index], state);
            }
          });
        }
      }
    }),
    { seed: SEED },
  );
});

test("a running task does not get a second attempt", (t) => {
  fc.assert(
    fc.property(history, (records) => {
      const table = tableOf([submissions]);
      for (const entry of records) {
        const named = "work" in entry ? table.get(entry.work) : undefined;
        const state = "task" in entry ? named?.tasks[entry.task] : undefined;
        table.apply(1, entry);
        if (entry.type !== "attempt" || state?.type !== "running") continue;
        t.is(table.get(entry.work)?.tasks[entry.task], state);
      }
    }),
    { seed: SEED },
  );
});

test("a work has a finish time exactly when it is finished", (t) => {
  fc.assert(
    fc.property(history, (records) => {
      for (const state of tableOf([submissions, records]).works()) {
        t.is(state.finishedAt !== undefined, isFinished(state));
      }
    }),
    { seed: SEED },
  );
});

test("no task of a cancelled work starts", (t) => {
  fc.assert(
    fc.property(history, history, (before, after) => {
      const table = tableOf([submissions, before]);
      table.apply(1, { type: "cancelled", works: [0], at: 5 });
      const running = (task: number) =>
        table.get(0)?.tasks[task]?.type === "running";
      for (const entry of after) {
        const was = [0, 1].map(running);
        table.apply(2, entry);
        [0, 1].forEach((task) => t.false(running(task) && !was[task]));
      }
      const state = table.get(0);
      t.true(state !== undefined && statusOf(state) !== "waiting");
    }),
    { seed: SEED },
  );
});
