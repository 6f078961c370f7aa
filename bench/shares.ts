/**
 * How near saturated teams come to their entitled shares over any ten
 * seconds, when each team's work arrives at one instance and when all arrives
 * at the same one.
 *
 * @module
 */
import { entitlements } from "../src/policy/shares.ts";
import { runBaseline } from "./model/baselines.ts";
import { INSTANCES, runFleet } from "./model/fleet.ts";
import type { Outcomes } from "./model/record.ts";
import { drawTrace, type Item, SLOTS } from "./model/trace.ts";
import type { Results } from "./results.ts";
import { bestParameters } from "./waiting.ts";

interface Team {
  readonly name: string;
  readonly weight: number;
  /** Arriving work over what the fleet can do. */
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
/** Distance between the starts of two windows. */
const WINDOW_STEP_MS = 1_000;
const URGENT_PART = 0.05;
const MAX_ERROR = 0.02;

const weights = new Map(TEAMS.map(({ name, weight }) => [name, weight]));

const entries = {
  by_team: (item: Item) => Number(item.team.slice("team".length)) % INSTANCES,
  one: () => 0,
} as const;

/** Runs the bench. */
export function benchShares(results: Results, seed: number): void {
  const trace = drawTrace({
    seed,
    load: LOAD,
    durationMs: DURATION_MS,
    monthEnd: 0,
    teams: TEAMS.map(({ demand }) => demand),
    urgentPart: URGENT_PART,
  });
  const untilMs = DURATION_MS;
  const one = { untilMs, parts: 1, entryOf: entries.one, weights };
  const oracle = runBaseline(trace, { ...one, discipline: "policy" });
  results.line("oracle_error", errorOf(trace, oracle));
  const fifo = runBaseline(trace, { ...one, discipline: "fifo" });
  results.line("fifo_error", errorOf(trace, fifo));
  for (const [name, entryOf] of Object.entries(entries)) {
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
    parts: INSTANCES,
    untilMs,
    entryOf,
    weights,
  });
  results.line(`${name}_split_error`, errorOf(trace, split));
  const { outcomes } = runFleet(trace, {
    parameters: { ...bestParameters, weights },
    fault: { type: "none" },
    untilMs,
    entryOf,
  });
  for (const { team, entitled, used } of meansOf(trace, outcomes)) {
    results.line(`${name}_design_${team}_entitled`, entitled);
    results.line(`${name}_design_${team}_used`, used);
  }
  results.line(`${name}_design_busy`, busyPart(trace, outcomes));
  results.atMost(
    `${name}_design_error`,
    errorOf(trace, outcomes),
    MAX_ERROR,
  );
}

/** Largest distance of a saturated team's share from its entitlement in any window. */
function errorOf(trace: readonly Item[], outcomes: Outcomes): number {
  let worst = 0;
  for (
    let fromMs = WARM_UP_MS;
    fromMs + WINDOW_MS <= DURATION_MS;
    fromMs += WINDOW_STEP_MS
  ) {
    const used = usedIn(trace, { outcomes, fromMs, toMs: fromMs + WINDOW_MS });
    for (const [team, entitled] of saturated()) {
      worst = Math.max(worst, Math.abs((used.get(team) ?? 0) - entitled));
    }
  }
  return worst;
}

function meansOf(trace: readonly Item[], outcomes: Outcomes) {
  const range = { outcomes, fromMs: WARM_UP_MS, toMs: DURATION_MS };
  const used = usedIn(trace, range);
  return [...allEntitled()].map(([team, entitled]) => ({
    team,
    entitled,
    used: used.get(team) ?? 0,
  }));
}

function busyPart(trace: readonly Item[], outcomes: Outcomes): number {
  const range = { outcomes, fromMs: WARM_UP_MS, toMs: DURATION_MS };
  return [...usedIn(trace, range).values()].reduce((a, b) => a + b, 0);
}

function allEntitled(): Map<string, number> {
  return entitlements(new Map(TEAMS.map((team) => [team.name, team])));
}

function saturated(): [string, number][] {
  const demands = new Map(TEAMS.map(({ name, demand }) => [name, demand]));
  return [...allEntitled()].filter(([team, entitled]) =>
    entitled < demands.get(team)!
  );
}

/** Part of the fleet that each team used between two times. */
function usedIn(
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
    const part = Math.max(0, endMs - startMs) / whole;
    used.set(item.team, (used.get(item.team) ?? 0) + part);
  }
  return used;
}
