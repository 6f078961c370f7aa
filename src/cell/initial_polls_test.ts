import test from "ava";
import { ManualClock, sleep } from "../clock.ts";
import { testQueue } from "./_fixtures_test.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { Fleet, type FleetWorker } from "./fleet.ts";
import { InitialPolls } from "./initial_polls.ts";
import { newRun } from "./run.ts";

/** Workers of the deployment whose takeover is replayed. */
const WORKERS = 245;
/** Every sixth worker runs an urgent task, and half of the others a deferrable one. */
const URGENT_EVERY = 6;
/** Time from a poll to the worker's report, milliseconds. */
const REPORT_MS = 6;
/** A tenth of the objective of the shortest urgent submission, milliseconds. */
const MAX_URGENT_MS = 75;

function addRun(fleet: Fleet, worker: FleetWorker, priority: number): void {
  const step = stepOf({}, { queue: testQueue({ priority }) });
  const [task] = step.tasks;
  fleet.addRun(newRun(step, { task: task!, worker, nowMs: 0 }));
}

test("after a takeover the workers with urgent runs report first", async (t) => {
  const clock = new ManualClock();
  const fleet = new Fleet();
  const urgent = new Set<string>();
  const reportedMs = new Map<string, number>();
  const polls = new InitialPolls(clock, async ({ id }) => {
    await sleep(clock, REPORT_MS);
    reportedMs.set(id, clock.monotonic());
  });
  for (let index = 0; index < WORKERS; index++) {
    const worker = openWorker(fleet, `w${index}`);
    if (index % URGENT_EVERY === URGENT_EVERY - 1) {
      addRun(fleet, worker, 0);
      urgent.add(worker.id);
    } else if (index % 2 === 0) addRun(fleet, worker, 2);
    polls.add(worker);
  }
  await clock.run(1_000, 1);
  t.is(reportedMs.size, WORKERS);
  const lastUrgent = Math.max(...[...urgent].map((id) => reportedMs.get(id)!));
  t.true(lastUrgent <= MAX_URGENT_MS, `${lastUrgent} ms`);
});

test("a worker without runs is polled too, and none after closing", async (t) => {
  const clock = new ManualClock();
  const polled: string[] = [];
  const polls = new InitialPolls(clock, ({ id }) => {
    polled.push(id);
    return Promise.resolve();
  });
  polls.add(openWorker(new Fleet(), "w0"));
  await clock.run(10, 1);
  polls.close();
  polls.add(openWorker(new Fleet(), "w1"));
  await clock.run(10, 1);
  t.deepEqual(polled, ["w0"]);
});
