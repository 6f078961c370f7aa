/**
 * Load patterns of the worst seconds, as they were seen on the users' bench.
 *
 * @module
 */

import type { Team } from "../../src/cell/types.ts";
import type { Kind } from "./sheets.ts";

/** A team and what it sends. */
export interface TeamPlan {
  readonly team: Team;
  /** Usual part of all submissions. */
  readonly share: number;
  /** Times its usual part at a time. */
  times(atMs: number): number;
}

/** One load pattern. */
export interface Load {
  readonly name: string;
  /** Submissions come for so long, milliseconds. */
  readonly lengthMs: number;
  /** Time after that until the credit is counted, milliseconds; 30,000 unless given. */
  readonly tailMs?: number;
  /** Times the usual traffic of a kind at a time. */
  factor(kind: Kind, atMs: number): number;
  /** One team sends many times its usual. */
  readonly hot?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly times: number;
  };
  /** From when to when the store does not answer, milliseconds. */
  readonly storeAwayMs?: readonly [number, number];
  /** Workers that get no call, and calls that get no answer, for a time. */
  readonly lostAnswers?: {
    readonly fromMs: number;
    readonly toMs: number;
    readonly share: number;
    readonly dark: number;
  };
  /** When the holder dies, milliseconds. */
  readonly killedMs?: number;
  /** The teams, where they are not those of `drawn_jobs.ts`. */
  readonly teams?: readonly TeamPlan[];
}

const LENGTH_MS = 20_000;
/** When a burst comes, milliseconds. */
export const BURST_FROM_MS = 6_000;
const BURST_FOR_MS = 4_000;

/** All patterns. */
export const LOADS: readonly Load[] = [
  { name: "calm", lengthMs: LENGTH_MS, factor: () => 1 },
  {
    name: "urgent_burst",
    lengthMs: LENGTH_MS,
    factor: (kind, atMs) => isUrgent(kind) && inBurst(atMs) ? 2.2 : 1,
  },
  {
    name: "gang_burst",
    lengthMs: LENGTH_MS,
    factor: (kind, atMs) => kind.gangShare === 1 && inBurst(atMs) ? 1.8 : 1,
  },
  { name: "full_fleet", lengthMs: LENGTH_MS, factor: () => 1.25 },
  { name: "overload", lengthMs: LENGTH_MS, factor: () => 2 },
  {
    name: "hot_team",
    lengthMs: LENGTH_MS,
    factor: () => 1,
    hot: { fromMs: BURST_FROM_MS, toMs: BURST_FROM_MS + 8_000, times: 4.9 },
  },
  {
    name: "store_away",
    lengthMs: LENGTH_MS,
    factor: () => 1,
    storeAwayMs: [BURST_FROM_MS, BURST_FROM_MS + 4_200],
  },
  {
    name: "all_killed",
    lengthMs: LENGTH_MS,
    factor: () => 1,
    killedMs: BURST_FROM_MS,
  },
];

/** A hot team and a burst of urgent work at once: four times the usual traffic. */
export const HOT_BURST: Load = {
  name: "hot_burst",
  lengthMs: LENGTH_MS,
  factor: (kind, atMs) => isUrgent(kind) && inBurst(atMs) ? 2.2 : 1,
  hot: { fromMs: BURST_FROM_MS, toMs: BURST_FROM_MS + BURST_FOR_MS, times: 15 },
};

/** Two workers are dark, and one answer in twenty is lost. */
export const LOST_ANSWERS: Load = {
  name: "lost_answers",
  lengthMs: LENGTH_MS,
  factor: () => 1,
  lostAnswers: { fromMs: BURST_FROM_MS, toMs: 16_000, share: 0.055, dark: 2 },
};

function isUrgent({ priority }: Kind): boolean {
  return priority === 0;
}

function inBurst(atMs: number): boolean {
  return atMs >= BURST_FROM_MS && atMs < BURST_FROM_MS + BURST_FOR_MS;
}
