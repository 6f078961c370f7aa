/**
 * Load patterns in which teams of skewed size compete for the capacity of a
 * service or reach their resource limits.
 *
 * @module
 */
import type { Team } from "../../src/cell/types.ts";
import {
  BURST_START_MS,
  type LoadPattern,
  type TeamLoad,
} from "./load_patterns.ts";
import type { DeploymentProfile, JobKind } from "./deployment_profiles.ts";

/** Number of teams; source: the deployment's profile. */
const TEAMS = 20;
/** Shares of the traffic of the large teams; the others share the rest equally. */
const LARGE_TEAM_SHARES = [0.24, 0.13, 0.08] as const;
/** Weight of a team over its usual rate; source: the users' profiles. */
const WEIGHT_FACTOR = 1.9;
/** Resource limit of a team over its mean use. */
const LIMIT_FACTOR = 1.3;
/** Minimum limit, thousandths of a core: room for two gangs of mean size. */
const MIN_LIMIT_MILLIS = 180_000;
/** Indices of the teams that send more than usual: a large and a small one. */
const HOT_TEAMS = [1, 10] as const;
/** Factor on the traffic of hot teams, on top of {@linkcode BURST_FACTOR}. */
const HOT_FACTOR = 3;
/** Factor on all traffic in the burst, and the burst's duration; source: the measured day. */
const BURST_FACTOR = 1.8;
const BURST_DURATION_MS = 9_000;

/** Source: the table of kinds in docs/design/hard_load.md. */
export const CROWDED: DeploymentProfile = {
  name: "crowded",
  workers: 245,
  capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 },
  adviceRoundTripMs: 10,
  ratePerWorker: 76 / 245,
  channels: 39,
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
      credit: 8.53,
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
      credit: 2.62,
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
      credit: 0.413,
      baseMs: 7.2,
      perWorkerMs: 0.1,
      goodShare: 0.7,
    },
  ],
};

/** Two hot teams, and all traffic at 1.8 times the usual for 9 s. */
export const HOT_TEAMS_BURST: LoadPattern = {
  name: "hot_teams_burst",
  durationMs: 24_000,
  factor: (_, atMs) => inBurst(atMs) ? BURST_FACTOR : 1,
  teams: createTeamLoads({ limited: false, hot: HOT_TEAMS }),
};

/** Teams of skewed size whose limits are 1.3 times their mean use. */
export const NEAR_LIMITS: LoadPattern = {
  name: "near_limits",
  durationMs: 24_000,
  factor: () => 1,
  teams: createTeamLoads({ limited: true, hot: [] }),
};

/** Both load patterns. */
export const TEAM_LOADS: readonly LoadPattern[] = [
  HOT_TEAMS_BURST,
  NEAR_LIMITS,
];

function createTeamLoads({ limited, hot }: {
  readonly limited: boolean;
  readonly hot: readonly number[];
}): readonly TeamLoad[] {
  return Array.from({ length: TEAMS }, (_, index): TeamLoad => {
    const share = teamShare(index);
    return {
      share,
      factorAt: (atMs) => hot.includes(index) && inBurst(atMs) ? HOT_FACTOR : 1,
      team: createTeam({ index, share, limited }),
    };
  });
}

function teamShare(index: number): number {
  const large = LARGE_TEAM_SHARES.reduce((sum, share) => sum + share, 0);
  return LARGE_TEAM_SHARES[index] ??
    (1 - large) / (TEAMS - LARGE_TEAM_SHARES.length);
}

function createTeam({ index, share, limited }: {
  readonly index: number;
  readonly share: number;
  readonly limited: boolean;
}): Team {
  const { ratePerWorker, workers, kinds } = CROWDED;
  const rate = ratePerWorker * workers;
  const usedMillis = rate *
    kinds.reduce((sum, kind) => sum + meanCpuUse(kind), 0);
  const cpuMillis = Math.max(
    MIN_LIMIT_MILLIS,
    Math.round(LIMIT_FACTOR * share * usedMillis),
  );
  return {
    name: `team-${index}`,
    keys: [],
    weight: WEIGHT_FACTOR * share * rate,
    limit: {
      cpuMillis: limited ? cpuMillis : 0,
      memoryMib: 0,
      accelerators: 0,
    },
  };
}

/** Mean processor use of a kind per submission a second of all kinds, thousandths of a core. */
function meanCpuUse(kind: JobKind): number {
  const { share, steps, tasks, cpuMillis, runMs } = kind;
  return share * steps * tasks * cpuMillis * runMs / 1_000;
}

function inBurst(atMs: number): boolean {
  return atMs >= BURST_START_MS && atMs < BURST_START_MS + BURST_DURATION_MS;
}
