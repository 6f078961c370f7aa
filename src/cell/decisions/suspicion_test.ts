import test from "ava";
import { largeFleet } from "./_fixtures_test.ts";
import { isSlow, mayAvoidMore, paceOf } from "./suspicion.ts";

/** Time of a task on the usual worker, milliseconds. */
const TASK_MS = 2_000;
/** How much the speeds of sound workers and the tasks of a step differ at most. */
const SOUND_TIMES = (1.25 / 0.8) * (1.15 / 0.85);

/** A run as reports show it, on a worker that is `times` slower than the best of its step. */
function foundAfterMs(times: number): number | undefined {
  const bestPace = 100 / TASK_MS;
  for (let elapsedMs = 100; elapsedMs < 10_000; elapsedMs += 100) {
    const percent = 100 * elapsedMs / (TASK_MS * times);
    if (percent >= 100) return undefined;
    if (isSlow({ elapsedMs, percent }, bestPace)) return elapsedMs;
  }
  return undefined;
}

test("workers that turn six times slower are found within a second", (t) => {
  t.true(foundAfterMs(6.4)! <= 1_000);
  t.true(foundAfterMs(8.5)! <= 1_000);
});

test("a worker on which everything stands still is found within a second", (t) => {
  t.true(foundAfterMs(Infinity)! <= 1_000);
});

test("the slowest sound worker is no reason to leave it alone", (t) => {
  t.is(foundAfterMs(SOUND_TIMES), undefined);
});

test("a long step says nothing of its workers", (t) => {
  const progress = { elapsedMs: 3_000, percent: 5 };
  t.false(isSlow(progress, paceOf(progress)));
});

test("a part of the workers at most is left alone", (t) => {
  const fleet = largeFleet(() => 0);
  let avoided = 0;
  for (const worker of fleet.workers.values()) {
    if (!mayAvoidMore(fleet, 1_000)) break;
    worker.avoidUntilMs = 2_000;
    avoided++;
  }
  t.is(avoided, 95);
  t.true(mayAvoidMore(fleet, 2_500));
});
