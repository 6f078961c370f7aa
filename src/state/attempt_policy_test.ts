import test from "ava";
import { VALUE_LIMIT_BYTES } from "../fakes/memory_store.ts";
import { DEFERRED_WORK_LIMITS } from "../controllers/deferred_options.ts";
import {
  type AttemptOutcome,
  type JournalRecord,
  recordBytes,
} from "../journal/records.ts";
import { snapshotBytes } from "../journal/work_state.ts";
import { WorkTable } from "../journal/work_table.ts";
import { completionRecords } from "./attempt_policy.ts";

const { output, maxPayloadBytes, maxTasks } = DEFERRED_WORK_LIMITS;

const largest: AttemptOutcome[] = [
  { type: "failed", detail: "\u0000".repeat(1000) },
  { type: "succeeded", result: "x".repeat(output.taskBytes) },
  { type: "stopped", checkpoint: "x".repeat(output.taskBytes) },
];

for (const outcome of largest) {
  test(`the largest work with tasks that ${outcome.type} fits into one store value`, (t) => {
    const table = new WorkTable();
    const apply = (record: JournalRecord) => table.apply(0, record);
    apply({
      type: "submitted",
      work: 0,
      team: "t",
      workload: "w",
      payload: "x".repeat(maxPayloadBytes - 2),
      count: maxTasks,
      gang: false,
      at: 0,
    });
    for (let index = 0; index < maxTasks; index++) {
      const attempt = "a".repeat(36);
      const common = { work: 0, task: index, attempt, at: 1_700_000_000_000 };
      apply({
        type: "attempt",
        ...common,
        worker: "w".repeat(30),
        fence: 9999,
      });
      const work = table.get(0);
      const task = work?.tasks[index];
      if (work === undefined || task?.type !== "running") return t.fail();
      const completion = { work, index, task, outcome, at: common.at };
      const options = {
        policy: { idempotent: outcome.type === "stopped", attempts: 1 },
        limits: output,
      };
      completionRecords(completion, options).forEach(apply);
    }
    const state = table.get(0);
    if (state === undefined) return t.fail();
    const bytes = recordBytes({ type: "snapshot", state });
    t.true(bytes < VALUE_LIMIT_BYTES, `${bytes}`);
    t.true(snapshotBytes(state) < VALUE_LIMIT_BYTES);
    t.is(table.bytes, snapshotBytes(state));
  });
}
