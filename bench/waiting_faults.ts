/**
 * Measures waiting times under faults: a killed instance, an offered load of
 * twice the capacity, and workers on which every attempt fails.
 *
 * @module
 */
import { INSTANCES, runFleet } from "./model/fleet_simulation.ts";
import type { SimulationParameters } from "./model/simulated_instance.ts";
import { type Outcomes, percentile, sortedWaits } from "./model/outcomes.ts";
import { generateTrace, type Item, SLOTS } from "./model/trace.ts";
import type { Results } from "./results.ts";

const LOAD = 0.8;
const OVERLOAD = 2;
const OVERLOAD_URGENT_FRACTION = 0.95;
const DURATION_MS = 8_000;
const UNTIL_MS = 60_000;
const MONTH_END_TASKS = 1_000;
const KILL_AT_MS = 3_000;
const BAD_WORKERS = 2;
/** Target for urgent waits while the workers of a killed instance have no owner. */
const MAX_KILL_P99_MS = 50;
/** Time budget of urgent callers. */
const CALLER_BUDGET_MS = 1_000;
/** Minimum utilization of the fleet under overload. */
const MIN_UTILIZATION = 0.95;
/** Maximum number of failed attempts per request. */
const MAX_FAILURES_PER_REQUEST = 0.01;

/** Runs the simulations with faults. */
export function benchWaitingFaults(
  results: Results,
  options: { readonly seed: number; readonly parameters: SimulationParameters },
): void {
  benchKill(results, options);
  benchOverload(results, options);
  benchBadWorkers(results, options);
}

interface FaultOptions {
  readonly seed: number;
  readonly parameters: SimulationParameters;
}

function entryOf(item: Item): number {
  return Math.floor(item.entry * INSTANCES);
}

function benchKill(results: Results, options: FaultOptions): void {
  const trace = generateDefaultTrace(options.seed);
  const { outcomes } = runFleet(trace, {
    parameters: options.parameters,
    fault: { type: "kill", atMs: KILL_AT_MS },
    untilMs: UNTIL_MS,
    entryOf,
  });
  results.atMost("kill_urgent_p99_ms", p99(trace, outcomes), MAX_KILL_P99_MS);
  results.line("kill_disconnected", outcomes.disconnected);
  results.line("kill_unknown", outcomes.unknown);
  results.atMost("kill_doubled", outcomes.repeatedStarts, 0);
  results.atMost("kill_starved", countStarved(trace, outcomes), 0);
}

function benchOverload(results: Results, options: FaultOptions): void {
  const trace = generateTrace({
    seed: options.seed,
    load: OVERLOAD,
    durationMs: DURATION_MS,
    monthEnd: 0,
    urgentFraction: OVERLOAD_URGENT_FRACTION,
  });
  const { outcomes } = runFleet(trace, {
    parameters: options.parameters,
    fault: { type: "none" },
    untilMs: UNTIL_MS,
    entryOf,
  });
  results.line("overload_refused_part", outcomes.refused / trace.length);
  results.atMost(
    "overload_urgent_p99_ms",
    p99(trace, outcomes),
    CALLER_BUDGET_MS,
  );
  results.atLeast(
    "overload_busy",
    utilization(trace, outcomes),
    MIN_UTILIZATION,
  );
  results.atMost("overload_starved", countStarved(trace, outcomes), 0);
}

function benchBadWorkers(results: Results, options: FaultOptions): void {
  const trace = generateDefaultTrace(options.seed);
  const failedPart = (quarantine: boolean) => {
    const { outcomes } = runFleet(trace, {
      parameters: { ...options.parameters, quarantine },
      fault: { type: "badWorkers", count: BAD_WORKERS },
      untilMs: UNTIL_MS,
      entryOf,
    });
    return outcomes.failed / trace.length;
  };
  results.atMost(
    "bad_workers_failed_a_request",
    failedPart(true),
    MAX_FAILURES_PER_REQUEST,
  );
  results.line("bad_workers_trusted_failed_a_request", failedPart(false));
}

function generateDefaultTrace(seed: number): readonly Item[] {
  return generateTrace({
    seed,
    load: LOAD,
    durationMs: DURATION_MS,
    monthEnd: MONTH_END_TASKS,
  });
}

function p99(trace: readonly Item[], outcomes: Outcomes): number {
  const options = { trace, urgency: "urgent", fromMs: 0 } as const;
  return percentile(sortedWaits(outcomes, options), 99);
}

function countStarved(trace: readonly Item[], outcomes: Outcomes): number {
  return trace.filter((item) =>
    outcomes.endedAtMs[item.index] === Infinity && !outcomes.isSettled(item)
  ).length;
}

/** Utilization of the fleet from the end of the first second to the last arrival. */
function utilization(trace: readonly Item[], outcomes: Outcomes): number {
  const fromMs = 1_000;
  let busyMs = 0;
  for (const { index } of trace) {
    const startMs = Math.max(fromMs, outcomes.startedAtMs[index]!);
    const endMs = Math.min(DURATION_MS, outcomes.endedAtMs[index]!);
    busyMs += Math.max(0, endMs - startMs);
  }
  return busyMs / (SLOTS * (DURATION_MS - fromMs));
}
