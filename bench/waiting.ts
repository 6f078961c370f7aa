/**
 * Measures waiting times against an oracle, first in first out and a static
 * partition, on the same traces; then under faults.
 *
 * @module
 */
import { runBaseline } from "./model/baseline_schedulers.ts";
import { type Fault, INSTANCES, runFleet } from "./model/fleet_simulation.ts";
import type { SimulationParameters } from "./model/simulated_instance.ts";
import { type Outcomes, percentile, sortedWaits } from "./model/outcomes.ts";
import { generateTrace, type Item } from "./model/trace.ts";
import type { Results } from "./results.ts";
import { benchWaitingFaults } from "./waiting_faults.ts";

const LOADS = [0.6, 0.8, 0.9];
const DURATION_MS = 20_000;
/** End of a simulation; leaves time after the last arrival to complete the backlog. */
const UNTIL_MS = 60_000;
const WARM_UP_MS = 1_000;
const MONTH_END_TASKS = 4_000;
const HOP_MS = 1;
/** Maximum of the urgent waits over those of the oracle, after two hops are subtracted. */
const ORACLE_FACTOR = 1.5;
/** Minimum of the urgent waits of first in first out over those of the simulated instances. */
const FIFO_FACTOR = 10;

/** Settings of the simulated instances. */
export const defaultParameters: SimulationParameters = {
  hopMs: HOP_MS,
  ordinaryGapMs: 20,
  pressingGapMs: 1,
  headroom: true,
  quarantine: true,
  weights: new Map(),
};

const entryPolicies = {
  even: (item: Item) => Math.floor(item.entry * INSTANCES),
  one: () => 0,
} as const;

type EntryName = keyof typeof entryPolicies;

/** Runs the benchmark. */
export function benchWaiting(results: Results, seed: number): void {
  for (const load of LOADS) benchLoad(results, { seed, load });
  benchWaitingFaults(results, { seed, parameters: defaultParameters });
}

function benchLoad(
  results: Results,
  options: { readonly seed: number; readonly load: number },
): void {
  const { load } = options;
  const trace = generateTrace({
    ...options,
    durationMs: DURATION_MS,
    monthEnd: MONTH_END_TASKS,
  });
  const one = () => 0;
  const common = { untilMs: UNTIL_MS, partitions: 1, entryOf: one };
  const oracle = runBaseline(trace, { ...common, discipline: "policy" });
  const fifo = runBaseline(trace, { ...common, discipline: "fifo" });
  const prefix = `load${load * 100}`;
  print(results, { name: `${prefix}_oracle`, trace, outcomes: oracle });
  print(results, { name: `${prefix}_fifo`, trace, outcomes: fifo });
  for (const name of Object.keys(entryPolicies) as EntryName[]) {
    benchEntry(results, { prefix, name, trace, oracle, fifo });
  }
}

function benchEntry(
  results: Results,
  options: {
    readonly prefix: string;
    readonly name: EntryName;
    readonly trace: readonly Item[];
    readonly oracle: Outcomes;
    readonly fifo: Outcomes;
  },
): void {
  const { trace, oracle, fifo } = options;
  const entryOf = entryPolicies[options.name];
  const split = runBaseline(trace, {
    untilMs: UNTIL_MS,
    discipline: "policy",
    partitions: INSTANCES,
    entryOf,
  });
  const prefix = `${options.prefix}_${options.name}`;
  print(results, { name: `${prefix}_split`, trace, outcomes: split });
  const { outcomes, network } = runDesign(trace, { entryOf });
  const name = `${prefix}_design`;
  print(results, { name, trace, outcomes });
  const urgent = p99(trace, outcomes);
  const limit = ORACLE_FACTOR * p99(trace, oracle) + 2 * HOP_MS;
  results.atMost(`${name}_urgent_p99_ms`, urgent, limit);
  results.atLeast(
    `${name}_fifo_factor`,
    p99(trace, fifo) / urgent,
    FIFO_FACTOR,
  );
  results.atMost(
    `${name}_late_that_fifo_has_on_time`,
    countLaterThanFifo(trace, outcomes, fifo),
    0,
  );
  results.atMost(`${name}_starved`, countStarved(trace, outcomes), 0);
  for (const [type, count] of Object.entries(network.counts)) {
    results.line(`${name}_${type}_a_request`, count / trace.length);
  }
  results.line(`${name}_messages_a_request`, network.total / trace.length);
}

function runDesign(
  trace: readonly Item[],
  options: {
    readonly entryOf: (item: Item) => number;
    readonly fault?: Fault;
    readonly parameters?: SimulationParameters;
  },
) {
  return runFleet(trace, {
    parameters: defaultParameters,
    fault: { type: "none" },
    untilMs: UNTIL_MS,
    ...options,
  });
}

function print(
  results: Results,
  run: {
    readonly name: string;
    readonly trace: readonly Item[];
    readonly outcomes: Outcomes;
  },
): void {
  const { name, trace, outcomes } = run;
  for (const urgency of ["urgent", "deferred"] as const) {
    const waits = sortedWaits(outcomes, { trace, urgency, fromMs: WARM_UP_MS });
    results.line(`${name}_${urgency}_wait_p50_ms`, percentile(waits, 50));
    results.line(`${name}_${urgency}_wait_p99_ms`, percentile(waits, 99));
  }
}

function p99(trace: readonly Item[], outcomes: Outcomes): number {
  const options = { trace, urgency: "urgent", fromMs: WARM_UP_MS } as const;
  return percentile(sortedWaits(outcomes, options), 99);
}

function countLaterThanFifo(
  trace: readonly Item[],
  outcomes: Outcomes,
  fifo: Outcomes,
): number {
  return trace.filter((item) => isLate(item, outcomes) && !isLate(item, fifo))
    .length;
}

function isLate(item: Item, outcomes: Outcomes): boolean {
  return outcomes.endedAtMs[item.index]! > (item.dueAtMs ?? Infinity);
}

function countStarved(trace: readonly Item[], outcomes: Outcomes): number {
  return trace.filter((item) =>
    outcomes.endedAtMs[item.index] === Infinity && !outcomes.isSettled(item)
  ).length;
}
