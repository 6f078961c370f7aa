/**
 * The waiting bench under faults: an instance killed, twice the load that the
 * fleet carries, and workers that fail everything.
 *
 * @module
 */
import { INSTANCES, runFleet } from "./model/fleet.ts";
import type { Parameters } from "./model/instance.ts";
import { type Outcomes, percentile, waitsOf } from "./model/record.ts";
import { drawTrace, type Item, SLOTS } from "./model/trace.ts";
import type { Results } from "./results.ts";

const LOAD = 0.8;
const OVERLOAD = 2;
const OVERLOAD_URGENT_PART = 0.95;
const DURATION_MS = 8_000;
const UNTIL_MS = 60_000;
const MONTH_END_TASKS = 1_000;
const KILLED_AT_MS = 3_000;
const BAD_WORKERS = 2;
/** Longest urgent wait while an instance is gone and its workers are not yet owned. */
const MAX_KILL_P99_MS = 50;
/** Time that urgent callers wait at most. */
const BUDGET_MS = 1_000;
/** Least part of the fleet in use under overload. */
const MIN_BUSY = 0.95;
/** Most failed attempts for each request. */
const MAX_FAILED = 0.01;

/** Runs the faults. */
export function benchFaults(
  results: Results,
  options: { readonly seed: number; readonly parameters: Parameters },
): void {
  benchKill(results, options);
  benchOverload(results, options);
  benchBadWorkers(results, options);
}

interface FaultOptions {
  readonly seed: number;
  readonly parameters: Parameters;
}

function entryOf(item: Item): number {
  return Math.floor(item.entry * INSTANCES);
}

function benchKill(results: Results, options: FaultOptions): void {
  const trace = traceOf(options.seed);
  const { outcomes } = runFleet(trace, {
    parameters: options.parameters,
    fault: { type: "kill", atMs: KILLED_AT_MS },
    untilMs: UNTIL_MS,
    entryOf,
  });
  results.atMost("kill_urgent_p99_ms", p99(trace, outcomes), MAX_KILL_P99_MS);
  results.line("kill_disconnected", outcomes.disconnected);
  results.line("kill_unknown", outcomes.unknown);
  results.atMost("kill_doubled", outcomes.doubled, 0);
  results.atMost("kill_starved", starved(trace, outcomes), 0);
}

function benchOverload(results: Results, options: FaultOptions): void {
  const trace = drawTrace({
    seed: options.seed,
    load: OVERLOAD,
    durationMs: DURATION_MS,
    monthEnd: 0,
    urgentPart: OVERLOAD_URGENT_PART,
  });
  const { outcomes } = runFleet(trace, {
    parameters: options.parameters,
    fault: { type: "none" },
    untilMs: UNTIL_MS,
    entryOf,
  });
  results.line("overload_refused_part", outcomes.refused / trace.length);
  results.atMost("overload_urgent_p99_ms", p99(trace, outcomes), BUDGET_MS);
  results.atLeast("overload_busy", busyPart(trace, outcomes), MIN_BUSY);
  results.atMost("overload_starved", starved(trace, outcomes), 0);
}

function benchBadWorkers(results: Results, options: FaultOptions): void {
  const trace = traceOf(options.seed);
  const failedPart = (quarantine: boolean) => {
    const { outcomes } = runFleet(trace, {
      parameters: { ...options.parameters, quarantine },
      fault: { type: "badWorkers", count: BAD_WORKERS },
      untilMs: UNTIL_MS,
      entryOf,
    });
    return outcomes.failed / trace.length;
  };
  results.atMost("bad_workers_failed_a_request", failedPart(true), MAX_FAILED);
  results.line("bad_workers_trusted_failed_a_request", failedPart(false));
}

function traceOf(seed: number): readonly Item[] {
  return drawTrace({
    seed,
    load: LOAD,
    durationMs: DURATION_MS,
    monthEnd: MONTH_END_TASKS,
  });
}

function p99(trace: readonly Item[], outcomes: Outcomes): number {
  const options = { trace, urgency: "urgent", fromMs: 0 } as const;
  return percentile(waitsOf(outcomes, options), 99);
}

function starved(trace: readonly Item[], outcomes: Outcomes): number {
  return trace.filter((item) =>
    outcomes.endedAtMs[item.index] === Infinity && !outcomes.isSettled(item)
  ).length;
}

/** Part of the fleet in use between the first second and the last arrival. */
function busyPart(trace: readonly Item[], outcomes: Outcomes): number {
  const fromMs = 1_000;
  let busyMs = 0;
  for (const { index } of trace) {
    const startMs = Math.max(fromMs, outcomes.startedAtMs[index]!);
    const endMs = Math.min(DURATION_MS, outcomes.endedAtMs[index]!);
    busyMs += Math.max(0, endMs - startMs);
  }
  return busyMs / (SLOTS * (DURATION_MS - fromMs));
}
