import test from "ava";
import fc from "fast-check";
import { Leftover } from "./leftover.ts";

const RUNS = { seed: 20_261_204, numRuns: 2_000 };
/** Maximum network delay between an instance and a worker, milliseconds. */
const MAX_NETWORK_DELAY_MS = 40;

interface Event {
  readonly atMs: number;
  readonly apply: () => void;
}

/** A request of this instance: when it is sent, arrives, completes, and when its answer arrives. */
const own = fc.record({
  sentMs: fc.integer({ min: 1_000, max: 6_000 }),
  requestDelayMs: fc.integer({ min: 0, max: MAX_NETWORK_DELAY_MS }),
  durationMs: fc.integer({ min: 0, max: 2_000 }),
  responseDelayMs: fc.integer({ min: 0, max: MAX_NETWORK_DELAY_MS }),
  abandoned: fc.boolean(),
});
/** A report: when it is requested, how old its count is, and when it arrives. */
const report = fc.record({
  requestedMs: fc.integer({ min: 1_000, max: 8_000 }),
  requestDelayMs: fc.integer({ min: 0, max: 300 }),
  ageMs: fc.integer({ min: 0, max: 1_500 }),
  responseDelayMs: fc.integer({ min: 0, max: 300 }),
});
const scenario = fc.record({
  previousOwnerEndsMs: fc.array(fc.integer({ min: 0, max: 8_000 }), {
    maxLength: 4,
  }),
  own: fc.array(own, { maxLength: 8 }),
  reports: fc.array(report, { minLength: 1, maxLength: 6 }),
  resetMs: fc.option(fc.integer({ min: 1_000, max: 8_000 })),
});
type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

function runningAt(
  { previousOwnerEndsMs, own }: Scenario,
  timeMs: number,
): number {
  const ofPreviousOwner =
    previousOwnerEndsMs.filter((endMs) => endMs > timeMs).length;
  const ofThisInstance = own.filter(
    ({ sentMs, requestDelayMs, durationMs }) => {
      const startMs = sentMs + requestDelayMs;
      return startMs <= timeMs && timeMs < startMs + durationMs;
    },
  );
  return ofPreviousOwner + ofThisInstance.length;
}

function eventsOf(scenario: Scenario, unaccounted: Leftover): Event[] {
  const events: Event[] = [];
  const { own, reports, resetMs } = scenario;
  for (const [index, request] of own.entries()) {
    const id = String(index);
    const { sentMs, requestDelayMs, durationMs, responseDelayMs, abandoned } =
      request;
    const endMs = sentMs + requestDelayMs + durationMs;
    const answeredMs = endMs + responseDelayMs;
    const abandonedMs = sentMs + requestDelayMs + Math.floor(durationMs / 2);
    events.push({ atMs: sentMs, apply: () => unaccounted.started(id, sentMs) });
    events.push(
      abandoned
        ? { atMs: abandonedMs, apply: () => unaccounted.lost(id, abandonedMs) }
        : { atMs: answeredMs, apply: () => unaccounted.ended(id, answeredMs) },
    );
  }
  for (
    const { requestedMs, requestDelayMs, ageMs, responseDelayMs } of reports
  ) {
    const measuredMs = requestedMs + requestDelayMs - ageMs;
    const atMs = requestedMs + requestDelayMs + responseDelayMs;
    events.push({
      atMs,
      apply: () =>
        unaccounted.sighted({
          measuredAtMs: requestedMs - ageMs,
          measuredByMs: atMs - ageMs,
          requests: runningAt(scenario, measuredMs),
        }),
    });
  }
  if (resetMs !== null) {
    events.push({ atMs: resetMs, apply: () => unaccounted.reset(resetMs) });
  }
  return events.sort((a, b) => a.atMs - b.atMs);
}

test("unaccounted requests: the bound holds for any starts, completions and lagging reports", (t) => {
  fc.assert(
    fc.property(scenario, (given) => {
      const unaccounted = new Leftover(0);
      for (const { atMs, apply } of eventsOf(given, unaccounted)) {
        apply();
        if (!unaccounted.known) continue;
        const bound = unaccounted.count + unaccounted.active;
        if (bound < runningAt(given, atMs)) return false;
      }
      return true;
    }),
    RUNS,
  );
  t.pass();
});

test("unaccounted requests: a report from before the change of owner is ignored", (t) => {
  const unaccounted = new Leftover(1_000);
  unaccounted.sighted({ measuredAtMs: 999, measuredByMs: 1_100, requests: 0 });
  t.false(unaccounted.known);
  unaccounted.sighted({
    measuredAtMs: 1_000,
    measuredByMs: 1_100,
    requests: 2,
  });
  t.is(unaccounted.count, 2);
});

test("unaccounted requests: zero after a report without requests", (t) => {
  const unaccounted = new Leftover(0);
  unaccounted.sighted({ measuredAtMs: 10, measuredByMs: 20, requests: 3 });
  unaccounted.started("a", 30);
  unaccounted.lost("a", 100);
  t.is(unaccounted.count, 4);
  unaccounted.sighted({ measuredAtMs: 200, measuredByMs: 210, requests: 0 });
  t.is(unaccounted.count, 0);
});

test("unaccounted requests: an answer in transit while a report is taken still counts", (t) => {
  const unaccounted = new Leftover(0);
  unaccounted.started("a", 10);
  unaccounted.sighted({ measuredAtMs: 200, measuredByMs: 205, requests: 1 });
  t.is(unaccounted.count + unaccounted.active, 1);
  unaccounted.ended("a", 210);
  t.is(unaccounted.count + unaccounted.active, 1);
});
