/**
 * Load patterns of the most demanding seconds seen in the users' benchmark.
 *
 * @module
 */

import type { Team } from "../../src/cell/types.ts";
import type { JobKind } from "./deployment_profiles.ts";

/** A team and its part of the traffic. */
export interface TeamLoad {
  readonly team: Team;
  /** Part of all submissions under usual load. */
  readonly share: number;
  /** Factor on the team's usual rate at a time. */
  factorAt(atMs: number): number;
}

/** One load pattern. */
export interface LoadPattern {
  readonly name: string;
  /** Period in which submissions arrive, milliseconds. */
  readonly durationMs: number;
  /** Time from the last arrival until the credit is counted, milliseconds; default 30,000. */
  readonly tailMs?: number;
  /** Factor on the usual rate of a kind at a time. */
  factor(kind: JobKind, atMs: number): number;
  /** Period in which the largest team sends `factor` times its usual rate. */
  readonly hotTeam?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
  };
  /** Start and end of a store outage, milliseconds. */
  readonly storeOutageMs?: readonly [number, number];
  /** Period in which `unreachable` workers are unreachable and a `share` of all responses is lost. */
  readonly lostResponses?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly share: number;
    readonly unreachable: number;
  };
  /** Maximum number of tries for each submission; unlimited if absent. */
  readonly maxTries?: number;
  /** When the leader is killed, milliseconds. */
  readonly leaderKilledMs?: number;
  /** Teams that replace the default ones of `generated_jobs.ts`. */
  readonly teams?: readonly TeamLoad[];
}

const DURATION_MS = 20_000;
/** Start of a burst, milliseconds. */
export const BURST_START_MS = 6_000;
const BURST_DURATION_MS = 4_000;

/** The load patterns that every deployment is simulated under. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  { name: "calm", durationMs: DURATION_MS, factor: () => 1 },
  {
    name: "urgent_burst",
    durationMs: DURATION_MS,
    factor: (kind, atMs) => isUrgent(kind) && inBurst(atMs) ? 2.2 : 1,
  },
  {
    name: "gang_burst",
    durationMs: DURATION_MS,
    factor: (kind, atMs) => kind.gangShare === 1 && inBurst(atMs) ? 1.8 : 1,
  },
  { name: "full_fleet", durationMs: DURATION_MS, factor: () => 1.25 },
  { name: "overload", durationMs: DURATION_MS, factor: () => 2 },
  {
    name: "hot_team",
    durationMs: DURATION_MS,
    factor: () => 1,
    hotTeam: {
      fromMs: BURST_START_MS,
      toMs: BURST_START_MS + 8_000,
      factor: 4.9,
    },
  },
  {
    name: "store_away",
    durationMs: DURATION_MS,
    factor: () => 1,
    storeOutageMs: [BURST_START_MS, BURST_START_MS + 4_200],
  },
  {
    name: "all_killed",
    durationMs: DURATION_MS,
    factor: () => 1,
    leaderKilledMs: BURST_START_MS,
  },
];

/** A fifth more work than usual for as long as gangs need to fall behind. */
export const SCARCE: LoadPattern = {
  name: "scarce",
  durationMs: 30_000,
  factor: () => 1.2,
};

/** A hot team together with a burst of urgent work: four times the usual traffic. */
export const HOT_BURST: LoadPattern = {
  name: "hot_burst",
  durationMs: DURATION_MS,
  factor: (kind, atMs) => isUrgent(kind) && inBurst(atMs) ? 2.2 : 1,
  hotTeam: {
    fromMs: BURST_START_MS,
    toMs: BURST_START_MS + BURST_DURATION_MS,
    factor: 15,
  },
};

/** Two workers are unreachable, and 5.5 % of the responses are lost. */
export const LOST_RESPONSES: LoadPattern = {
  name: "lost_answers",
  durationMs: DURATION_MS,
  factor: () => 1,
  lostResponses: {
    fromMs: BURST_START_MS,
    toMs: 16_000,
    share: 0.055,
    unreachable: 2,
  },
};

function isUrgent({ priority }: JobKind): boolean {
  return priority === 0;
}

function inBurst(atMs: number): boolean {
  return atMs >= BURST_START_MS && atMs < BURST_START_MS + BURST_DURATION_MS;
}
