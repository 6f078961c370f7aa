import test from "ava";
import { silentLog } from "../logger.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;

/** Parts of the leader's work, and a log line that each of them writes. */
const PARTS = [
  { part: "recovery", event: "cell.recovered" },
  { part: "submission", event: "job.submitted" },
  { part: "worker list", event: "worker.listed" },
  { part: "scheduling pass", event: "step.waited" },
  { part: "start of runs", event: "run.start" },
  { part: "poll of w1", event: "run.end" },
  { part: "job log", event: "job.ended" },
  { part: "housekeeping", event: "cell.load" },
];

/**
 * Lets the next leaders fail when they log an event. Returns the descriptions of
 * the failures that they log.
 */
function failAt(harness: Harness, failingEvent: string): readonly unknown[] {
  const reasons: unknown[] = [];
  harness.log = {
    ...silentLog,
    info: (event) => {
      if (event === failingEvent) throw new Error("broken");
    },
    error: (event, fields) => {
      if (event === "leader.failed") reasons.push(fields?.["reason"]);
    },
  };
  return reasons;
}

for (const { part, event } of PARTS) {
  test(`the term ends after a failure of the ${part}, and the next leader continues`, async (t) => {
    const harness = new Harness();
    const first = await harness.open();
    await harness.submit(first, [testStep()]);
    first.close();
    const reasons = failAt(harness, event);
    const failing = await harness.open();
    void harness.beginSubmit(failing, [testStep()], "00000000000000b1");
    const worker = harness.addWorker("w1");
    await harness.clock.run(2_000);
    worker.end(TASK, "done");
    await harness.clock.run(500);
    t.deepEqual(harness.stepDownReasons, [`a failure of the ${part}`]);
    t.regex(String(reasons[0]), /Error: broken\n +at/);
    harness.log = silentLog;
    const next = await harness.open();
    await harness.clock.run(500);
    worker.end(TASK, "done");
    await harness.clock.run(500);
    t.is(next.state(JOB), "done");
  });
}

for (
  const [part, event] of [
    ["advice recovery", "advice.recalled"],
    ["advice request", "advice.answered"],
  ] as const
) {
  test(`the term ends after a failure of the ${part}`, async (t) => {
    const harness = new Harness();
    const advice = { baseMs: 100, perWorkerMs: 10, ticketMs: 5_000 };
    harness.set = { ...harness.set, queues: [testQueue({ advice })] };
    const first = await harness.open();
    await harness.submit(first, [testStep()]);
    first.close();
    harness.addWorker("w1");
    failAt(harness, event);
    await harness.open();
    await harness.clock.run(500);
    t.deepEqual(harness.stepDownReasons, [`a failure of the ${part}`]);
  });
}
