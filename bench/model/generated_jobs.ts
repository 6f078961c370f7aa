/**
 * Random submissions that follow a deployment profile, and the credit that
 * they earn.
 *
 * @module
 */
import type { JobSpec, StepSpec } from "../../src/cell/types.ts";
import type { Clock } from "../../src/clock.ts";
import { type Fields, type Log, silentLog } from "../../src/logger.ts";
import type { Random } from "../random.ts";
import type { LoadPattern } from "./load_patterns.ts";
import { START_TIMEOUT_MS } from "./model_workers.ts";
import {
  type DeploymentProfile,
  type JobKind,
  meanStep,
} from "./deployment_profiles.ts";
import {
  sampleLogNormal,
  sampleTaskTimes,
  SIZE_SPREAD,
  type TaskTimeDistribution,
} from "./heterogeneity.ts";

/** Standard deviation of the logarithm of the number of tasks of a step. */
const TASK_COUNT_SPREAD = 0.7;
/** Maximum number of tasks of a step. */
const MAX_TASKS = 120;
/** Maximum size of a task over the mean of its kind. */
const MAX_SIZE_FACTOR = 2.2;
/** Number of workers in the advice request that the latency objective allows for; source: the platform's rules. */
const OBJECTIVE_WORKERS = 30;
/** A submission that takes longer than this many objectives earns nothing; source: the same. */
const MAX_LATENESS_FACTOR = 3;
/** Part of the credit that a late submission earns; source: the users' profiles. */
const LATE_CREDIT_FRACTION = 0.2;
const UNIFORM_TIMES: ReadonlyMap<string, number> = new Map();
const NO_HOT_TEAM = { fromMs: 0, toMs: 0, factor: 1 };
/** Target time to confirm a start whose first response was lost, milliseconds; source: the project's target. */
const MAX_RECOVERY_MS = 300;
/** Part of a kind's credit that does not depend on the amount of work; source: the platform's rules. */
const FIXED_CREDIT_FRACTION = 0.3;

/** Number of teams of a deployment; the first is the largest. */
export const TEAMS = 29;
/** Share of the largest team in all submissions. */
const LARGEST_SHARE = 0.14;
/** Weight of a team over its usual rate; source: the users' profiles. */
const WEIGHT_FACTOR = 1.9;

/** One submission. */
export interface GeneratedJob {
  readonly atMs: number;
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly spec: JobSpec;
  /** Run time of the tasks of each step, milliseconds. */
  readonly runMs: readonly number[];
  /** Run time of tasks over that of their step, by `STEP.TASK`; 1 for tasks without an entry. */
  readonly taskTimes: ReadonlyMap<string, number>;
  /** Latency objective, milliseconds. */
  readonly objectiveMs: number;
  readonly credit: number;
}

/** Name of the team at an index; index 0 is the largest. */
export function teamName(index: number): string {
  return `team-${index}`;
}

/** Weight of a team: its share of the capacity, as submissions a second. */
export function teamWeight(
  index: number,
  { profile, workers }: {
    readonly profile: DeploymentProfile;
    readonly workers: number;
  },
): number {
  const others = (1 - LARGEST_SHARE) / (TEAMS - 1);
  const share = profile.heterogeneity?.teamShares[index] ??
    (index === 0 ? LARGEST_SHARE : others);
  return WEIGHT_FACTOR * share * profile.ratePerWorker * workers;
}

/** Generates the submissions of a load, ordered by time. */
export function generateJobs(
  profile: DeploymentProfile,
  { load, workers }: { readonly load: LoadPattern; readonly workers: number },
  random: Random,
): readonly GeneratedJob[] {
  const jobs: GeneratedJob[] = [];
  for (const [index, kind] of profile.kinds.entries()) {
    const usualRate = profile.ratePerWorker * workers * kind.share / 1_000;
    let number = 0;
    const addJob = (atMs: number, team: number) => {
      // The first digit is the index of the kind; the simulated advice reads it.
      const id = `${index}${(number++).toString(16).padStart(15, "0")}`;
      const limitMillis = load.teams?.[team]?.team.limit.cpuMillis || Infinity;
      const taskTimeDistribution = profile.heterogeneity?.taskTimeDistribution;
      const name = teamName(team);
      jobs.push(
        generateJob(
          kind,
          { atMs, id, team: name, limitMillis, taskTimeDistribution },
          random,
        ),
      );
    };
    const teamLoads = load.teams ?? [];
    for (let atMs = 0; teamLoads.length > 0 && atMs < load.durationMs;) {
      const rates = teamLoads.map(({ share, factorAt }) =>
        share * factorAt(atMs)
      );
      const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
      atMs += random.exponential(
        1 / (usualRate * totalRate * load.factor(kind, atMs)),
      );
      addJob(atMs, random.weightedIndex(rates));
    }
    for (let atMs = 0; teamLoads.length === 0 && atMs < load.durationMs;) {
      const rate = usualRate * load.factor(kind, atMs);
      atMs += random.exponential(1 / rate);
      addJob(atMs, pickTeam(profile, random));
    }
    const { fromMs, toMs, factor } = load.hotTeam ?? NO_HOT_TEAM;
    const extraRate = usualRate * LARGEST_SHARE * (factor - 1);
    for (let atMs = fromMs; atMs < toMs;) {
      atMs += random.exponential(1 / extraRate);
      addJob(atMs, 0);
    }
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
}

function pickTeam(
  { heterogeneity }: DeploymentProfile,
  random: Random,
): number {
  if (heterogeneity !== undefined) {
    return random.weightedIndex(heterogeneity.teamShares);
  }
  const largest = random.uniform() < LARGEST_SHARE;
  return largest ? 0 : 1 + random.integerBelow(TEAMS - 1);
}

function generateJob(
  kind: JobKind,
  { atMs, id, team, limitMillis, taskTimeDistribution }: {
    readonly atMs: number;
    readonly id: string;
    readonly team: string;
    /** Resource limit of the team, thousandths of a core; no step exceeds it. */
    readonly limitMillis: number;
    readonly taskTimeDistribution: TaskTimeDistribution | undefined;
  },
  random: Random,
): GeneratedJob {
  const count = 1 + Number(random.uniform() < kind.steps - 1);
  const gang = random.uniform() < kind.gangShare;
  const sizeFactor = Math.min(
    MAX_SIZE_FACTOR,
    sampleLogNormal(random, SIZE_SPREAD),
  );
  const cpuMillis = Math.round(kind.cpuMillis * sizeFactor);
  const steps = Array.from({ length: count }, (_, index): StepSpec => ({
    ...meanStep(kind),
    tasks: Math.min(
      MAX_TASKS,
      Math.floor(limitMillis / cpuMillis),
      Math.max(
        1,
        Math.round(kind.tasks * sampleLogNormal(random, TASK_COUNT_SPREAD)),
      ),
    ),
    amounts: {
      cpuMillis,
      memoryMib: Math.round(kind.memoryMib * sizeFactor),
      accelerators: 0,
    },
    after: index === 0 ? [] : [index - 1],
    gang,
  }));
  const runMs = steps.map(() =>
    kind.runMs * sampleLogNormal(random, SIZE_SPREAD)
  );
  const taskTimes = taskTimeDistribution === undefined || gang
    ? UNIFORM_TIMES
    : sampleTaskTimes(steps, taskTimeDistribution, random);
  const adviceMs = kind.baseMs + OBJECTIVE_WORKERS * kind.perWorkerMs;
  const chainMs = runMs.reduce((sum, ms) => sum + ms + adviceMs, 0);
  const work = steps.reduce(
    (sum, step, index) =>
      sum + step.tasks * step.amounts.cpuMillis * runMs[index]!,
    0,
  );
  const mean = kind.steps * kind.tasks * kind.cpuMillis * kind.runMs;
  return {
    atMs,
    id,
    queue: kind.queue,
    team,
    spec: { payload: kind.queue, steps },
    runMs,
    taskTimes,
    objectiveMs: kind.stretch * chainMs + kind.objectiveMs,
    credit: kind.credit *
      (FIXED_CREDIT_FRACTION + (1 - FIXED_CREDIT_FRACTION) * work / mean),
  };
}

interface CreditTotals {
  earned: number;
  possible: number;
  /** Number of submissions, and how many of them met their objective. */
  submitted: number;
  inTime: number;
}

function emptyTotals(): CreditTotals {
  return { earned: 0, possible: 0, submitted: 0, inTime: 0 };
}

/** Computes the credit of submissions from the log events of a cell. */
export class CreditLog implements Log {
  readonly debug = silentLog.debug;
  readonly warn = silentLog.warn;
  readonly error = silentLog.error;
  readonly #clock: Clock;
  readonly #jobs: ReadonlyMap<string, GeneratedJob>;
  readonly #totalsByQueue = new Map<string, CreditTotals>();
  readonly #totalsByTeam = new Map<string, CreditTotals>();
  /** Time that steps waited, by `QUEUE REASON`, milliseconds. */
  readonly waitedMs = new Map<string, number>();
  readonly #ended = new Set<string>();
  readonly #others: CreditTotals = emptyTotals();
  #unanswered = 0;
  #recovered = 0;
  /** Minimum number of usable workers in the cell's load events. */
  minUsableWorkers = Infinity;

  constructor(jobs: readonly GeneratedJob[], clock: Clock) {
    this.#clock = clock;
    this.#jobs = new Map(jobs.map((job) => [job.id, job]));
    for (const job of jobs) {
      for (const totals of this.#totalsOf(job)) {
        totals.possible += job.credit;
        totals.submitted++;
      }
    }
  }

  info(event: string, fields: Fields = {}): void {
    switch (event) {
      case "job.ended":
        return this.#recordEnd(String(fields.job));
      case "run.start":
        return this.#recordStart(fields);
      case "step.waited":
        return this.#recordWait(fields);
      case "cell.load":
        this.minUsableWorkers = Math.min(
          this.minUsableWorkers,
          Number(fields.usable),
        );
    }
  }

  /** Share of the starts with a lost first response that were confirmed within {@linkcode MAX_RECOVERY_MS}. */
  get recoveredShare(): number {
    return this.#unanswered === 0 ? 1 : this.#recovered / this.#unanswered;
  }

  /** Counts a start whose first response was lost: it took at least the request timeout. */
  #recordStart({ tookMs, outcome }: Fields): void {
    if (Number(tookMs) < START_TIMEOUT_MS) return;
    this.#unanswered++;
    if (outcome === "started" && Number(tookMs) <= MAX_RECOVERY_MS) {
      this.#recovered++;
    }
  }

  /** Share of the possible credit of a queue that was earned. */
  creditShareOf(queue: string): number {
    const { earned, possible } = this.#queueTotals(queue);
    return earned / possible;
  }

  /** Share of the submissions of a queue that met their objective. */
  inTimeShareOf(queue: string): number {
    const { inTime, submitted } = this.#queueTotals(queue);
    return inTime / submitted;
  }

  /** Share of all possible credit that was earned. */
  get creditShare(): number {
    const sums = [...this.#totalsByQueue.values()];
    const total = (valueOf: (sum: CreditTotals) => number) =>
      sums.reduce((total, sum) => total + valueOf(sum), 0);
    return total((sum) => sum.earned) / total((sum) => sum.possible);
  }

  /** The same for all teams but the largest. */
  get creditShareOfOthers(): number {
    return this.#others.earned / this.#others.possible;
  }

  /** Mean of the share of the possible credit earned, over the worst tenth of the teams. */
  get creditShareOfWorstTenth(): number {
    const shares = [...this.#totalsByTeam.values()]
      .map(({ earned, possible }) => earned / possible)
      .sort((a, b) => a - b);
    const worst = shares.slice(0, Math.ceil(shares.length / 10));
    return worst.reduce((sum, share) => sum + share, 0) / worst.length;
  }

  #recordWait(fields: Fields): void {
    const queue = this.#jobs.get(String(fields.job))?.queue;
    for (const reason of ["teamLimit", "limitHeadroom", "noRoom"]) {
      const key = `${queue} ${reason}`;
      const ms = Number(fields[`${reason}Ms`] ?? 0);
      this.waitedMs.set(key, (this.waitedMs.get(key) ?? 0) + ms);
    }
  }

  /** Whether a submission has ended. */
  hasEnded(id: string): boolean {
    return this.#ended.has(id);
  }

  /** Number of submissions that ended. */
  get endedCount(): number {
    return this.#ended.size;
  }

  #recordEnd(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined || this.#ended.has(id)) return;
    this.#ended.add(id);
    // Jobs are submitted relative to 1,000 ms, after the cell has opened.
    const elapsedMs = this.#clock.monotonic() - 1_000 - job.atMs;
    const earned = job.credit * creditFraction(elapsedMs, job);
    for (const totals of this.#totalsOf(job)) {
      totals.earned += earned;
      if (elapsedMs <= job.objectiveMs) totals.inTime++;
    }
  }

  /** The totals that a submission counts towards. */
  #totalsOf({ queue, team }: GeneratedJob): readonly CreditTotals[] {
    const ofBoth = [
      this.#queueTotals(queue),
      totalsFor(this.#totalsByTeam, team),
    ];
    return team === teamName(0) ? ofBoth : [...ofBoth, this.#others];
  }

  #queueTotals(queue: string): CreditTotals {
    return totalsFor(this.#totalsByQueue, queue);
  }
}

function totalsFor(
  totalsByKey: Map<string, CreditTotals>,
  key: string,
): CreditTotals {
  const totals = totalsByKey.get(key) ?? emptyTotals();
  totalsByKey.set(key, totals);
  return totals;
}

function creditFraction(
  elapsedMs: number,
  { objectiveMs }: GeneratedJob,
): number {
  if (elapsedMs <= objectiveMs) return 1;
  return elapsedMs <= MAX_LATENESS_FACTOR * objectiveMs
    ? LATE_CREDIT_FRACTION
    : 0;
}
