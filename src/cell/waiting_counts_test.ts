import test from "ava";
import { SuspendableClock } from "./_suspendable_clock_test.ts";
import { WaitingCounts } from "./waiting_counts.ts";

const COUNTS = new Map([["receipts", 3]]);

test("counts are unknown at first, and again once they are too old", (t) => {
  const clock = new SuspendableClock();
  const waiting = new WaitingCounts(clock);
  t.is(waiting.latest, undefined);
  waiting.record(COUNTS);
  clock.advance(1_800);
  t.is(waiting.latest, COUNTS);
  clock.advance(1);
  t.is(waiting.latest, undefined);
});

// Guards against counts from before a suspension, whose age the monotonic clock
// does not show.
test("counts from before a suspension are unknown", (t) => {
  const clock = new SuspendableClock();
  const waiting = new WaitingCounts(clock);
  waiting.record(COUNTS);
  clock.suspend(4_000);
  t.is(waiting.latest, undefined);
  waiting.record(COUNTS);
  t.is(waiting.latest, COUNTS);
});
