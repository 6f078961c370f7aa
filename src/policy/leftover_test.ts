import test from "ava";
import fc from "fast-check";
import { Leftover } from "./leftover.ts";

const RUNS = { seed: 20_261_204, numRuns: 2_000 };
/** Maximum network delay between an instance and a worker, milliseconds. */
const NETWORK_MS = 40;

interface Event {
  readonly atMs: number;
  readonly act: () => void;
}

/** A request of this instance: when it is sent, arrives, completes, and when its answer arrives. */
const own = fc.record({
  sentMs: fc.integer({ min: 1_000, max: 6_000 }),
  arrivesAfterMs: fc.integer({ min: 0, max: NETWORK_MS }),
  runsMs: fc.integer({ min: 0, max: 2_000 }),
  heardAfterMs: fc.integer({ min: 0, max: NETWORK_MS }),
  lost: fc.boolean(),
});
/** A report: when it is requested, how old its count is, and when it arrives. */
const report = fc.record({
  askedMs: fc.integer({ min: 1_000, max: 8_000 }),
  arrivesAfterMs: fc.integer({ min: 0, max: 300 }),
  ageMs: fc.integer({ min: 0, max: 1_500 }),
  heardAfterMs: fc.integer({ min: 0, max: 300 }),
});
const scenario = fc.record({
  foreignEndsMs: fc.array(fc.integer({ min: 0, max: 8_000 }), { maxLength: 4 }),
  own: fc.array(own, { maxLength: 8 }),
  reports: fc.array(report, { minLength: 1, maxLength: 6 }),
  resetMs: fc.option(fc.integer({ min: 1_000, max: 8_000 })),
});
type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

function runningAt({ foreignEndsMs, own }: Scenario, timeMs: number): number {
  const foreign = foreignEndsMs.filter((endMs) => endMs > timeMs).length;
  const mine = own.filter(({ sentMs, arrivesAfterMs, runsMs }) => {
    const startMs = sentMs + arrivesAfterMs;
    return startMs <= timeMs && timeMs < startMs + runsMs;
  });
  return foreign + mine.length;
}

function eventsOf(scenario: Scenario, leftover: Leftover): Event[] {
  const events: Event[] = [];
  const { own, reports, resetMs } = scenario;
  for (const [index, request] of own.entries()) {
    const id = String(index);
    const { sentMs, arrivesAfterMs, runsMs, heardAfterMs, lost } = request;
    const endMs = sentMs + arrivesAfterMs + runsMs;
    const heardMs = endMs + heardAfterMs;
    const givenUpMs = sentMs + arrivesAfterMs + Math.floor(runsMs / 2);
    events.push({ atMs: sentMs, act: () => leftover.started(id, sentMs) });
    events.push(
      lost
        ? { atMs: givenUpMs, act: () => leftover.lost(id, givenUpMs) }
        : { atMs: heardMs, act: () => leftover.ended(id, heardMs) },
    );
  }
  for (const { askedMs, arrivesAfterMs, ageMs, heardAfterMs } of reports) {
    const takenMs = askedMs + arrivesAfterMs - ageMs;
    const atMs = askedMs + arrivesAfterMs + heardAfterMs;
    events.push({
      atMs,
      act: () =>
        leftover.sighted({
          measuredAtMs: askedMs - ageMs,
          measuredByMs: atMs - ageMs,
          requests: runningAt(scenario, takenMs),
        }),
    });
  }
  if (resetMs !== null) {
    events.push({ atMs: resetMs, act: () => leftover.reset(resetMs) });
  }
  return events.sort((a, b) => a.atMs - b.atMs);
}

test("leftover: never fewer than run, for any starts, ends and lagging reports", (t) => {
  fc.assert(
    fc.property(scenario, (given) => {
      const leftover = new Leftover(0);
      for (const { atMs, act } of eventsOf(given, leftover)) {
        act();
        if (!leftover.known) continue;
        const counted = leftover.count + leftover.active;
        if (counted < runningAt(given, atMs)) return false;
      }
      return true;
    }),
    RUNS,
  );
  t.pass();
});

test("leftover: a report taken before the change of owner says nothing", (t) => {
  const leftover = new Leftover(1_000);
  leftover.sighted({ measuredAtMs: 999, measuredByMs: 1_100, requests: 0 });
  t.false(leftover.known);
  leftover.sighted({ measuredAtMs: 1_000, measuredByMs: 1_100, requests: 2 });
  t.is(leftover.count, 2);
});

test("leftover: falls to nothing once reports show nothing", (t) => {
  const leftover = new Leftover(0);
  leftover.sighted({ measuredAtMs: 10, measuredByMs: 20, requests: 3 });
  leftover.started("a", 30);
  leftover.lost("a", 100);
  t.is(leftover.count, 4);
  leftover.sighted({ measuredAtMs: 200, measuredByMs: 210, requests: 0 });
  t.is(leftover.count, 0);
});

test("leftover: an answer on its way while a report was taken", (t) => {
  const leftover = new Leftover(0);
  leftover.started("a", 10);
  leftover.sighted({ measuredAtMs: 200, measuredByMs: 205, requests: 1 });
  t.is(leftover.count + leftover.active, 1);
  leftover.ended("a", 210);
  t.is(leftover.count + leftover.active, 1);
});
