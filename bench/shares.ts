/**
 * Measures how far saturated teams are from their entitled shares in any
 * window of ten seconds, with the work of each team arriving at one instance,
 * and with all work arriving at the same instance.
 *
 * @module
 */
import { entitlements } from "../src/policy/shares.ts";
import { runBaseline } from "./model/baseline_schedulers.ts";
import { INSTANCES, runFleet } from "./model/fleet_simulation.ts";
import type { Outcomes } from "./model/outcomes.ts";
import { generateTrace, type Item, SLOTS } from "./model/trace.ts";
import type { Results } from "./results.ts";
import { defaultParameters } from "./waiting.ts";

interface Team {
  readonly name: string;
  readonly weight: number;
  /** Offered load over the capacity of the fleet. */
  readonly demand: number;
}

const TEAMS: readonly Team[] = [
  { name: "team0", weight: 4, demand: 0.5 },
  { name: "team1", weight: 3, demand: 0.6 },
  { name: "team2", weight: 2, demand: 0.3 },
  { name: "team3", weight: 1, demand: 0.03 },
  { name: "team4", weight: 1, demand: 0.2 },
  { name: "team5", weight: 1, demand: 0.4 },
];
const LOAD = TEAMS.reduce((sum, team) => sum + team.demand, 0);
const DURATION_MS = 40_000;
const WARM_UP_MS = 10_000;
const WINDOW_MS = 10_000;
/** Interval between the starts of two windows. */
const WINDOW_INTERVAL_MS = 1_000;
const URGENT_FRACTION = 0.05;
const MAX_ERROR = 0.02;

const weights = new Map(TEAMS.map(({ name, weight }) => [name, weight]));

const entryPolicies = {
  by_team: (item: Item) => Number(item.team.slice("team".length)) % INSTANCES,
  one: () => 0,
} as const;

/** Runs the benchmark. */
export function benchShares(results: Results, seed: number): void {
  const trace = generateTrace({
    seed,
    load: LOAD,
    durationMs: DURATION_MS,
    monthEnd: 0,
    teams: TEAMS.map(({ demand }) => demand),
    urgentFraction: URGENT_FRACTION,
  });
  const untilMs = DURATION_MS;
  const one = { untilMs, partitions: 1, entryOf: entryPolicies.one, weights };
  const oracle = runBaseline(trace, { ...one, discipline: "policy" });
  results.line("oracle_error", maxShareError(trace, oracle));
  const fifo = runBaseline(trace, { ...one, discipline: "fifo" });
  results.line("fifo_error", maxShareError(trace, fifo));
  for (const [name, entryOf] of Object.entries(entryPolicies)) {
    benchEntry(results, { name, entryOf, trace });
  }
}

function benchEntry(
  results: Results,
  options: {
    readonly name: string;
    readonly entryOf: (item: Item) => number;
    readonly trace: readonly Item[];
  },
): void {
  const { name, entryOf, trace } = options;
  const untilMs = DURATION_MS;
  const split = runBaseline(trace, {
    discipline: "policy",
    partitions: INSTANCES,
    untilMs,
    entryOf,
    weights,
  });
  results.line(`${name}_split_error`, maxShareError(trace, split));
  const { outcomes } = runFleet(trace, {
    parameters: { ...defaultParameters, weights },
    fault: { type: "none" },
    untilMs,
    entryOf,
  });
  for (const { team, entitled, used } of meanShares(trace, outcomes)) {
    results.line(`${name}_design_${team}_entitled`, entitled);
    results.line(`${name}_design_${team}_used`, used);
  }
  results.line(`${name}_design_busy`, utilization(trace, outcomes));
  results.atMost(
    `${name}_design_error`,
    maxShareError(trace, outcomes),
    MAX_ERROR,
  );
}

/** Maximum difference between a saturated team's share and its entitlement in any window. */
function maxShareError(trace: readonly Item[], outcomes: Outcomes): number {
  let worst = 0;
  for (
    let fromMs = WARM_UP_MS;
    fromMs + WINDOW_MS <= DURATION_MS;
    fromMs += WINDOW_INTERVAL_MS
  ) {
    const used = usedShares(trace, {
      outcomes,
      fromMs,
      toMs: fromMs + WINDOW_MS,
    });
    for (const [team, entitled] of saturatedTeams()) {
      worst = Math.max(worst, Math.abs((used.get(team) ?? 0) - entitled));
    }
  }
  return worst;
}

function meanShares(trace: readonly Item[], outcomes: Outcomes) {
  const range = { outcomes, fromMs: WARM_UP_MS, toMs: DURATION_MS };
  const used = usedShares(trace, range);
  return [...entitledShares()].map(([team, entitled]) => ({
    team,
    entitled,
    used: used.get(team) ?? 0,
  }));
}

function utilization(trace: readonly Item[], outcomes: Outcomes): number {
  const range = { outcomes, fromMs: WARM_UP_MS, toMs: DURATION_MS };
  return [...usedShares(trace, range).values()].reduce((a, b) => a + b, 0);
}

function entitledShares(): Map<string, number> {
  return entitlements(new Map(TEAMS.map((team) => [team.name, team])));
}

function saturatedTeams(): [string, number][] {
  const demands = new Map(TEAMS.map(({ name, demand }) => [name, demand]));
  return [...entitledShares()].filter(([team, entitled]) =>
    entitled < demands.get(team)!
  );
}

/** Part of the fleet that each team used in a period. */
function usedShares(
  trace: readonly Item[],
  range: {
    readonly outcomes: Outcomes;
    readonly fromMs: number;
    readonly toMs: number;
  },
): Map<string, number> {
  const { outcomes, fromMs, toMs } = range;
  const whole = SLOTS * (toMs - fromMs);
  const used = new Map<string, number>();
  for (const item of trace) {
    const startMs = Math.max(fromMs, outcomes.startedAtMs[item.index]!);
    if (startMs >= toMs) continue;
    const endMs = Math.min(toMs, outcomes.endedAtMs[item.index]!);
    const fraction = Math.max(0, endMs - startMs) / whole;
    used.set(item.team, (used.get(item.team) ?? 0) + fraction);
  }
  return used;
}
