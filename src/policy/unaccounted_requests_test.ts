import test from "ava";
import fc from "fast-check";
import { UnaccountedRequests } from "./unaccounted_requests.ts";

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

function eventsOf(
  scenario: Scenario,
  unaccounted: UnaccountedRequests,
): Event[] {
  const events: Event[] = [];
  const { own, reports, resetMs } = scenario;
  for (const [index, request] of own.entries()) {
    const id = String(index);
    const { sentMs, requestDelayMs, durationMs, responseDelayMs, abandoned } =
      request;
    const endMs = sentMs + requestDelayMs + durationMs;
    const answeredMs = endMs + responseDelayMs;
    const abandonedMs = sentMs + requestDelayMs + Math.floor(durationMs / 2);
    events.push({
      atMs: sentMs,
      apply: () => unaccounted.recordSent(id, sentMs),
    });
    events.push(
      abandoned
        ? {
          atMs: abandonedMs,
          apply: () => unaccounted.recordAbandoned(id, abandonedMs),
        }
        : {
          atMs: answeredMs,
          apply: () => unaccounted.recordCompletion(id, answeredMs),
        },
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
        unaccounted.recordReport({
          earliestAtMs: requestedMs - ageMs,
          latestAtMs: atMs - ageMs,
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
      const unaccounted = new UnaccountedRequests(0);
      for (const { atMs, apply } of eventsOf(given, unaccounted)) {
        apply();
        if (!unaccounted.hasReport) continue;
        const bound = unaccounted.maxCount + unaccounted.inFlight;
        if (bound < runningAt(given, atMs)) return false;
      }
      return true;
    }),
    RUNS,
  );
  t.pass();
});

test("unaccounted requests: a report from before the change of owner is ignored", (t) => {
  const unaccounted = new UnaccountedRequests(1_000);
  unaccounted.recordReport({
    earliestAtMs: 999,
    latestAtMs: 1_100,
    requests: 0,
  });
  t.false(unaccounted.hasReport);
  unaccounted.recordReport({
    earliestAtMs: 1_000,
    latestAtMs: 1_100,
    requests: 2,
  });
  t.is(unaccounted.maxCount, 2);
});

test("unaccounted requests: zero after a report without requests", (t) => {
  const unaccounted = new UnaccountedRequests(0);
  unaccounted.recordReport({ earliestAtMs: 10, latestAtMs: 20, requests: 3 });
  unaccounted.recordSent("a", 30);
  unaccounted.recordAbandoned("a", 100);
  t.is(unaccounted.maxCount, 4);
  unaccounted.recordReport({ earliestAtMs: 200, latestAtMs: 210, requests: 0 });
  t.is(unaccounted.maxCount, 0);
});

test("unaccounted requests: an answer in transit while a report is taken still counts", (t) => {
  const unaccounted = new UnaccountedRequests(0);
  unaccounted.recordSent("a", 10);
  unaccounted.recordReport({ earliestAtMs: 200, latestAtMs: 205, requests: 1 });
  t.is(unaccounted.maxCount + unaccounted.inFlight, 1);
  unaccounted.recordCompletion("a", 210);
  t.is(unaccounted.maxCount + unaccounted.inFlight, 1);
});
