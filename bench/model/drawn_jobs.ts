/**
 * Submissions drawn from a sheet, and the credit that they earn.
 *
 * @module
 */
import type { JobSpec, StepSpec } from "../../src/cell/types.ts";
import type { Clock } from "../../src/clock.ts";
import { type Fields, type Log, silentLog } from "../../src/logger.ts";
import type { Random } from "../random.ts";
import type { Load } from "./loads.ts";
import { ORDER_GIVEN_UP_MS } from "./model_workers.ts";
import { type Kind, meanStep, type Sheet } from "./sheets.ts";
import {
  drawTaskTimes,
  SIZE_SPREAD,
  spread,
  type TaskSpread,
} from "./unevenness.ts";

/** Spread of the number of tasks of a step, as the deviation of its logarithm. */
const WIDTH_SPREAD = 0.7;
/** Most tasks of a step. */
const MOST_TASKS = 120;
/** Largest task of a kind, in times of its mean. */
const MOST_TIMES = 2.2;
/** Workers that the objective's call for advice names; source: the platform's rules. */
const OBJECTIVE_ASKED = 30;
/** A submission that ends after this many objectives earns nothing; source: the same. */
const WORTHLESS_AFTER = 3;
/** Part of the credit for one that is late; source: the users' sheets. */
const LATE_PART = 0.2;
const ALL_ALIKE: ReadonlyMap<string, number> = new Map();
const NOT_HOT = { fromMs: 0, toMs: 0, times: 1 };
/** Time in which an order without an answer is to be settled, milliseconds; source: the project's target. */
const SETTLED_MS = 300;
/** Part of a kind's worth that does not depend on the work; source: the platform's rules. */
const FIXED_PART = 0.3;

/** Teams of a deployment; the first is the largest. */
export const TEAMS = 29;
/** Part of all submissions that the largest team sends. */
const LARGEST_SHARE = 0.14;
/** Times its usual that a team may send before others go first; source: the users' sheets. */
const WEIGHT_TIMES = 1.9;

/** One submission. */
export interface DrawnJob {
  readonly atMs: number;
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly spec: JobSpec;
  /** Run time of the tasks of each step, milliseconds. */
  readonly runMs: readonly number[];
  /** Run time of tasks over that of their step, by `STEP.TASK`; 1 where there is none. */
  readonly taskTimes: ReadonlyMap<string, number>;
  /** Time in which it should be done, milliseconds. */
  readonly objectiveMs: number;
  readonly worth: number;
}

/** Name of a team by its size, from 0. */
export function teamName(index: number): string {
  return `team-${index}`;
}

/** Submissions a second that are owed to a team. */
export function weightOf(
  index: number,
  { sheet, workers }: { readonly sheet: Sheet; readonly workers: number },
): number {
  const others = (1 - LARGEST_SHARE) / (TEAMS - 1);
  const share = sheet.uneven?.teamShares[index] ??
    (index === 0 ? LARGEST_SHARE : others);
  return WEIGHT_TIMES * share * sheet.ratePerWorker * workers;
}

/** Draws the submissions of a load, in the order of their times. */
export function drawJobs(
  sheet: Sheet,
  { load, workers }: { readonly load: Load; readonly workers: number },
  random: Random,
): readonly DrawnJob[] {
  const jobs: DrawnJob[] = [];
  for (const [index, kind] of sheet.kinds.entries()) {
    const usual = sheet.ratePerWorker * workers * kind.share / 1_000;
    let number = 0;
    const draw = (atMs: number, team: number) => {
      // The first digit tells the advice service of the kind.
      const id = `${index}${(number++).toString(16).padStart(15, "0")}`;
      const limitMillis = load.teams?.[team]?.team.limit.cpuMillis || Infinity;
      const taskSpread = sheet.uneven?.taskSpread;
      const name = teamName(team);
      jobs.push(
        drawJob(
          kind,
          { atMs, id, team: name, limitMillis, taskSpread },
          random,
        ),
      );
    };
    const planned = load.teams ?? [];
    for (let atMs = 0; planned.length > 0 && atMs < load.lengthMs;) {
      const parts = planned.map(({ share, times }) => share * times(atMs));
      const all = parts.reduce((sum, part) => sum + part, 0);
      atMs += random.exponential(1 / (usual * all * load.factor(kind, atMs)));
      draw(atMs, random.weighted(parts));
    }
    for (let atMs = 0; planned.length === 0 && atMs < load.lengthMs;) {
      const rate = usual * load.factor(kind, atMs);
      atMs += random.exponential(1 / rate);
      draw(atMs, drawTeam(sheet, random));
    }
    const { fromMs, toMs, times } = load.hot ?? NOT_HOT;
    const more = usual * LARGEST_SHARE * (times - 1);
    for (let atMs = fromMs; atMs < toMs;) {
      atMs += random.exponential(1 / more);
      draw(atMs, 0);
    }
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
}

function drawTeam({ uneven }: Sheet, random: Random): number {
  if (uneven !== undefined) return random.weighted(uneven.teamShares);
  const largest = random.unit() < LARGEST_SHARE;
  return largest ? 0 : 1 + random.below(TEAMS - 1);
}

function drawJob(
  kind: Kind,
  { atMs, id, team, limitMillis, taskSpread }: {
    readonly atMs: number;
    readonly id: string;
    readonly team: string;
    /** Upper limit of the team: no step is larger. */
    readonly limitMillis: number;
    readonly taskSpread: TaskSpread | undefined;
  },
  random: Random,
): DrawnJob {
  const count = 1 + Number(random.unit() < kind.steps - 1);
  const gang = random.unit() < kind.gangShare;
  const times = Math.min(MOST_TIMES, spread(random, SIZE_SPREAD));
  const cpuMillis = Math.round(kind.cpuMillis * times);
  const steps = Array.from({ length: count }, (_, index): StepSpec => ({
    ...meanStep(kind),
    tasks: Math.min(
      MOST_TASKS,
      Math.floor(limitMillis / cpuMillis),
      Math.max(1, Math.round(kind.tasks * spread(random, WIDTH_SPREAD))),
    ),
    amounts: {
      cpuMillis,
      memoryMib: Math.round(kind.memoryMib * times),
      accelerators: 0,
    },
    after: index === 0 ? [] : [index - 1],
    gang,
  }));
  const runMs = steps.map(() => kind.runMs * spread(random, SIZE_SPREAD));
  const taskTimes = taskSpread === undefined || gang
    ? ALL_ALIKE
    : drawTaskTimes(steps, taskSpread, random);
  const adviceMs = kind.baseMs + OBJECTIVE_ASKED * kind.perWorkerMs;
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
    worth: kind.worth * (FIXED_PART + (1 - FIXED_PART) * work / mean),
  };
}

interface Sum {
  earned: number;
  owed: number;
  /** Submissions, and those of them that were in time. */
  submitted: number;
  inTime: number;
}

function noSum(): Sum {
  return { earned: 0, owed: 0, submitted: 0, inTime: 0 };
}

/** Reads from the lines of a cell which submissions were in time. */
export class CreditLog implements Log {
  readonly debug = silentLog.debug;
  readonly warn = silentLog.warn;
  readonly error = silentLog.error;
  readonly #clock: Clock;
  readonly #jobs: ReadonlyMap<string, DrawnJob>;
  readonly #sums = new Map<string, Sum>();
  readonly #teams = new Map<string, Sum>();
  /** Time that steps waited, by queue and reason, milliseconds. */
  readonly waitedMs = new Map<string, number>();
  readonly #ended = new Set<string>();
  readonly #others: Sum = noSum();
  #unanswered = 0;
  #settled = 0;
  /** Fewest workers that took work at once, as the cell told. */
  leastUsable = Infinity;

  constructor(jobs: readonly DrawnJob[], clock: Clock) {
    this.#clock = clock;
    this.#jobs = new Map(jobs.map((job) => [job.id, job]));
    for (const job of jobs) {
      for (const sum of this.#sumsOf(job)) {
        sum.owed += job.worth;
        sum.submitted++;
      }
    }
  }

  info(event: string, fields: Fields = {}): void {
    switch (event) {
      case "job.ended":
        return this.#end(String(fields.job));
      case "run.start":
        return this.#start(fields);
      case "step.waited":
        return this.#wait(fields);
      case "cell.load":
        this.leastUsable = Math.min(this.leastUsable, Number(fields.usable));
    }
  }

  /** Part of the orders without an answer that were settled in time. */
  get settledShare(): number {
    return this.#unanswered === 0 ? 1 : this.#settled / this.#unanswered;
  }

  /** Takes note of a start whose first answer did not come. */
  #start({ tookMs, outcome }: Fields): void {
    if (Number(tookMs) < ORDER_GIVEN_UP_MS) return;
    this.#unanswered++;
    if (outcome === "started" && Number(tookMs) <= SETTLED_MS) this.#settled++;
  }

  /** Credit earned of what is owed for a queue. */
  shareOf(queue: string): number {
    const { earned, owed } = this.#sumOf(queue);
    return earned / owed;
  }

  /** Part of the submissions of a queue that were in time. */
  inTimeOf(queue: string): number {
    const { inTime, submitted } = this.#sumOf(queue);
    return inTime / submitted;
  }

  /** Credit earned of all that is owed. */
  get share(): number {
    const sums = [...this.#sums.values()];
    const total = (of: (sum: Sum) => number) =>
      sums.reduce((all, sum) => all + of(sum), 0);
    return total((sum) => sum.earned) / total((sum) => sum.owed);
  }

  /** Credit earned of what is owed to all teams but the largest. */
  get shareOfOthers(): number {
    return this.#others.earned / this.#others.owed;
  }

  /** Mean over the worst tenth of the teams of the credit that each earned of what is owed to it. */
  get shareOfWorstTenth(): number {
    const shares = [...this.#teams.values()]
      .map(({ earned, owed }) => earned / owed)
      .sort((a, b) => a - b);
    const worst = shares.slice(0, Math.ceil(shares.length / 10));
    return worst.reduce((sum, share) => sum + share, 0) / worst.length;
  }

  #wait(fields: Fields): void {
    const queue = this.#jobs.get(String(fields.job))?.queue;
    for (const reason of ["teamLimit", "limitHeadroom", "noRoom"]) {
      const key = `${queue} ${reason}`;
      const ms = Number(fields[`${reason}Ms`] ?? 0);
      this.waitedMs.set(key, (this.waitedMs.get(key) ?? 0) + ms);
    }
  }

  /** Submissions that ended. */
  get ended(): number {
    return this.#ended.size;
  }

  #end(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined || this.#ended.has(id)) return;
    this.#ended.add(id);
    // The first second of the clock belongs to the opening of the cell.
    const tookMs = this.#clock.monotonic() - 1_000 - job.atMs;
    const earned = job.worth * partOf(tookMs, job);
    for (const sum of this.#sumsOf(job)) {
      sum.earned += earned;
      if (tookMs <= job.objectiveMs) sum.inTime++;
    }
  }

  /** What a submission counts for. */
  #sumsOf({ queue, team }: DrawnJob): readonly Sum[] {
    const ofBoth = [this.#sumOf(queue), sumIn(this.#teams, team)];
    return team === teamName(0) ? ofBoth : [...ofBoth, this.#others];
  }

  #sumOf(queue: string): Sum {
    return sumIn(this.#sums, queue);
  }
}

function sumIn(sums: Map<string, Sum>, key: string): Sum {
  const known = sums.get(key) ?? noSum();
  sums.set(key, known);
  return known;
}

function partOf(tookMs: number, { objectiveMs }: DrawnJob): number {
  if (tookMs <= objectiveMs) return 1;
  return tookMs <= WORTHLESS_AFTER * objectiveMs ? LATE_PART : 0;
}
