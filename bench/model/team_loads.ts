/**
 * Loads in which teams of skewed size compete for the capacity of a service or
 * reach their upper limits.
 *
 * @module
 */
import type { Team } from "../../src/cell/types.ts";
import { BURST_FROM_MS, type Load, type TeamPlan } from "./loads.ts";
import type { Kind, Sheet } from "./sheets.ts";

/** Teams of the deployment; source: its sheet. */
const TEAMS = 20;
/** Parts of the traffic that the large teams send; the others send equal parts of the rest. */
const LARGE_SHARES = [0.24, 0.13, 0.08] as const;
/** Times its usual that a team is owed; source: the users' sheets. */
const WEIGHT_TIMES = 1.9;
/** Upper limit of a team in times of its mean use. */
const LIMIT_TIMES = 1.3;
/** Least upper limit, thousandths of a core: two large gangs of mean size. */
const LEAST_LIMIT_MILLIS = 180_000;
/** Teams that send more than the others: a large and a small one. */
const HOT_TEAMS = [1, 10] as const;
/** Times the growth of the others that hot teams grow by. */
const HOT_TIMES = 3;
/** Growth of all traffic in the burst, and its length in milliseconds; source: the measured day. */
const BURST_TIMES = 1.8;
const BURST_FOR_MS = 9_000;

/** Source: the table of kinds in docs/design/hard_load.md. */
export const CROWDED: Sheet = {
  name: "crowded",
  workers: 245,
  capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 },
  wayMs: 10,
  ratePerWorker: 76 / 245,
  lanes: 39,
  kinds: [
    {
      queue: "gangs",
      share: 3 / 76,
      tasks: 20,
      cpuMillis: 4_500,
      memoryMib: 5_000,
      runMs: 4_100,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      worth: 8.53,
      baseMs: 540,
      perWorkerMs: 7.7,
      goodShare: 0.29,
    },
    {
      queue: "batches",
      share: 5.5 / 76,
      tasks: 25,
      cpuMillis: 1_700,
      memoryMib: 3_000,
      runMs: 2_800,
      gangShare: 0,
      steps: 1.5,
      priority: 2,
      stretch: 4,
      objectiveMs: 3_000,
      worth: 2.62,
      baseMs: 100,
      perWorkerMs: 1.4,
      goodShare: 0.45,
    },
    {
      queue: "checks",
      share: 67.5 / 76,
      tasks: 3,
      cpuMillis: 2_500,
      memoryMib: 3_000,
      runMs: 700,
      gangShare: 0.3,
      steps: 1,
      priority: 0,
      stretch: 1.5,
      objectiveMs: 250,
      worth: 0.413,
      baseMs: 7.2,
      perWorkerMs: 0.1,
      goodShare: 0.7,
    },
  ],
};

/** Two hot teams, and all traffic at 1.8 times the usual for 9 s. */
export const HOT_TEAMS_BURST: Load = {
  name: "hot_teams_burst",
  lengthMs: 24_000,
  factor: (_, atMs) => inBurst(atMs) ? BURST_TIMES : 1,
  teams: plans({ limited: false, hot: HOT_TEAMS }),
};

/** Teams of skewed size whose upper limits are a little above their mean use. */
export const NEAR_LIMITS: Load = {
  name: "near_limits",
  lengthMs: 24_000,
  factor: () => 1,
  teams: plans({ limited: true, hot: [] }),
};

/** Both loads. */
export const TEAM_LOADS: readonly Load[] = [HOT_TEAMS_BURST, NEAR_LIMITS];

function plans({ limited, hot }: {
  readonly limited: boolean;
  readonly hot: readonly number[];
}): readonly TeamPlan[] {
  return Array.from({ length: TEAMS }, (_, index): TeamPlan => {
    const share = shareOf(index);
    return {
      share,
      times: (atMs) => hot.includes(index) && inBurst(atMs) ? HOT_TIMES : 1,
      team: teamOf({ index, share, limited }),
    };
  });
}

function shareOf(index: number): number {
  const large = LARGE_SHARES.reduce((sum, share) => sum + share, 0);
  return LARGE_SHARES[index] ?? (1 - large) / (TEAMS - LARGE_SHARES.length);
}

function teamOf({ index, share, limited }: {
  readonly index: number;
  readonly share: number;
  readonly limited: boolean;
}): Team {
  const { ratePerWorker, workers, kinds } = CROWDED;
  const rate = ratePerWorker * workers;
  const usedMillis = rate * kinds.reduce((sum, kind) => sum + useOf(kind), 0);
  const cpuMillis = Math.max(
    LEAST_LIMIT_MILLIS,
    Math.round(LIMIT_TIMES * share * usedMillis),
  );
  return {
    name: `team-${index}`,
    keys: [],
    weight: WEIGHT_TIMES * share * rate,
    limit: {
      cpuMillis: limited ? cpuMillis : 0,
      memoryMib: 0,
      accelerators: 0,
    },
  };
}

/** Processors that the submissions of a kind keep busy for each submission a second of all kinds, thousandths. */
function useOf(kind: Kind): number {
  const { share, steps, tasks, cpuMillis, runMs } = kind;
  return share * steps * tasks * cpuMillis * runMs / 1_000;
}

function inBurst(atMs: number): boolean {
  return atMs >= BURST_FROM_MS && atMs < BURST_FROM_MS + BURST_FOR_MS;
}
