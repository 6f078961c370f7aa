/**
 * Replays load patterns against a cell in virtual time. Reports the credit that
 * submissions earn, by kind, and the processor time of the run, so that a
 * change of the scheduler is evaluated within seconds.
 *
 * @module
 */
import process from "node:process";
import type { Cell } from "../src/cell/cell.ts";
import { tasksThatFit } from "../src/cell/fleet.ts";
import type { StartRequest } from "../src/cell/ports.ts";
import { NO_AMOUNTS, type Team } from "../src/cell/types.ts";
import { ManualClock } from "../src/clock.ts";
import { Metrics } from "../src/metrics.ts";
import {
  createCell,
  isAllowed,
  simulatedAdvice,
} from "./model/cell_harness.ts";
import {
  CreditLog,
  type GeneratedJob,
  generateJobs,
  teamName,
  TEAMS,
  teamWeight,
} from "./model/generated_jobs.ts";
import {
  createQueues,
  type DeploymentProfile,
  LARGE,
  PICOS,
  SHIFTED,
  SHIFTED_EVACUATED,
} from "./model/deployment_profiles.ts";
import {
  HOT_BURST,
  LOAD_PATTERNS,
  type LoadPattern,
  LOST_RESPONSES,
  SCARCE,
} from "./model/load_patterns.ts";
import { ModelStore } from "./model/model_store.ts";
import { CROWDED, TEAM_LOADS } from "./model/team_load_patterns.ts";
import {
  ModelWorkers,
  type TaskModel,
  workerEntries,
} from "./model/model_workers.ts";
import {
  initialEstimates,
  UNEVEN,
  UNEVEN_DEMAND,
} from "./model/uneven_deployment.ts";
import { workerNumber } from "./model/heterogeneity.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

/** Number of queues in the operator set, most of them idle. */
const QUEUES = 45;
/** Default time after the last submission until the credit is counted, milliseconds. */
const DEFAULT_TAIL_MS = 30_000;
/** Step of the virtual clock, milliseconds. */
const STEP_MS = 2;
/** Time from the failure of a leader until the next one starts its term, milliseconds. */
const TAKEOVER_MS = 1_500;

/** All load patterns, each on the deployments that it strains most. */
export const SCENARIOS: readonly Scenario[] = [
  ...LOAD_PATTERNS.map((load) => ({ profile: LARGE, load })),
  ...LOAD_PATTERNS.map((load) => ({ profile: PICOS, load })),
  { profile: PICOS, load: HOT_BURST },
  { profile: PICOS, load: LOST_RESPONSES },
  { profile: UNEVEN, load: UNEVEN_DEMAND },
  { profile: SHIFTED_EVACUATED, load: SCARCE },
  ...LOAD_PATTERNS.map((load) => ({ profile: SHIFTED, load })),
  ...TEAM_LOADS.map((load) => ({ profile: CROWDED, load })),
];

/** A load pattern on a deployment. */
export interface Scenario {
  readonly profile: DeploymentProfile;
  readonly load: LoadPattern;
}

/** Replays all load patterns. */
export async function benchReplay(
  results: Results,
  seed: number,
): Promise<void> {
  for (const { profile, load } of SCENARIOS) {
    const before = process.cpuUsage();
    const { credit, harness } = await replay({ profile, load }, seed);
    const cpu = process.cpuUsage(before);
    const label = `${profile.name}_${load.name}`;
    for (const { queue } of profile.kinds) {
      results.line(`${label}_${queue}`, credit.creditShareOf(queue));
    }
    if (load.lostResponses !== undefined) {
      results.line(`${label}_settled_in_time`, credit.recoveredShare);
      results.line(`${label}_least_usable`, credit.minUsableWorkers);
    }
    if (profile.heterogeneity !== undefined) {
      for (const { queue } of profile.kinds) {
        results.line(`${label}_${queue}_in_time`, credit.inTimeShareOf(queue));
      }
    }
    results.line(`${label}_all`, credit.creditShare);
    results.line(`${label}_other_teams`, credit.creditShareOfOthers);
    if (load.teams !== undefined) printTeams(results, label, credit);
    const cpuMs = (cpu.user + cpu.system) / 1e3;
    const seconds = harness.clock.monotonic() / 1e3;
    results.line(`${label}_cpu_ms_per_s`, cpuMs / seconds);
    results.atMost(`${label}_overfilled`, harness.workers.overcommitted, 0);
  }
}

function printTeams(results: Results, label: string, credit: CreditLog): void {
  results.line(`${label}_worst_tenth`, credit.creditShareOfWorstTenth);
  for (const [key, waitedMs] of credit.waitedMs) {
    const name = key.replace(" ", "_");
    results.line(`${label}_${name}_s`, waitedMs / 1_000);
  }
}

/** Replays one load pattern; returns the credit and the harness at the end. */
export async function replay(
  { profile, load }: Scenario,
  seed: number,
): Promise<{ readonly credit: CreditLog; readonly harness: ReplayHarness }> {
  const { workers } = profile;
  const jobs = generateJobs(profile, { load, workers }, new Random(seed));
  const harness = new ReplayHarness(profile, jobs, {
    random: new Random(seed),
    teams: load.teams?.map(({ team }) => team) ?? defaultTeams(profile),
    ...(load.maxTries === undefined ? {} : { maxTries: load.maxTries }),
  });
  await harness.startLeader();
  let at = 0;
  const endMs = load.durationMs + (load.tailMs ?? DEFAULT_TAIL_MS);
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    for (; at < jobs.length && jobs[at]!.atMs <= nowMs; at++) {
      harness.submit(jobs[at]!);
    }
    harness.store.unreachable = isWithin(load.storeOutageMs, nowMs);
    harness.updateFaults(load, nowMs);
    if (load.leaderKilledMs === nowMs) harness.killLeader();
    if (
      load.leaderKilledMs !== undefined &&
      nowMs === load.leaderKilledMs + TAKEOVER_MS
    ) {
      void harness.startLeader();
    }
    await harness.clock.run(STEP_MS, STEP_MS);
  }
  return { credit: harness.credit, harness };
}

/** A cell on simulated dependencies, whose leader may be killed and replaced. */
export class ReplayHarness {
  readonly clock = new ManualClock();
  readonly store = new ModelStore(this.clock);
  readonly workers: ModelWorkers;
  readonly credit: CreditLog;
  readonly #profile: DeploymentProfile;
  readonly #teams: readonly Team[];
  #cell: Cell | undefined;
  #fence = 0;
  /** Submissions that arrived while the cell had no leader. */
  #pendingJobs: GeneratedJob[] = [];
  readonly #accepted = new Map<string, GeneratedJob>();
  readonly #maxTries: number;

  constructor(
    profile: DeploymentProfile,
    jobs: readonly GeneratedJob[],
    { random, teams, maxTries = Infinity }: {
      readonly random: Random;
      readonly teams: readonly Team[];
      /** Maximum number of tries for each submission. */
      readonly maxTries?: number;
    },
  ) {
    this.#profile = profile;
    this.#maxTries = maxTries;
    this.#teams = teams;
    const { capacity } = profile;
    const tasks = createTaskModel(jobs, profile);
    this.workers = new ModelWorkers(this.clock, tasks, { capacity, random });
    this.credit = new CreditLog(jobs, this.clock);
  }

  /** Starts the next leader and submits what arrived while there was none. */
  async startLeader(): Promise<void> {
    const profile = this.#profile;
    const {
      workers,
      capacity,
      channels,
      kinds,
      adviceRoundTripMs,
    } = profile;
    const cell = createCell({
      clock: this.clock,
      log: this.credit,
      metrics: new Metrics(),
      store: this.store,
      workers: workerEntries(workers, capacity),
      workerClient: this.workers,
      sendAdviceRequest: simulatedAdvice(this.clock, {
        roundTripMs: adviceRoundTripMs,
        goodShare: (step) => kinds[Number(step[0])]?.goodShare ?? 1,
      }),
      channels: Array.from({ length: channels }, (_, index) => `i${index}`),
      set: {
        version: 1,
        queues: createQueues(profile, QUEUES),
        teams: this.#teams,
        maxBodyBytes: 10_000,
      },
      fence: ++this.#fence,
      known: initialEstimates(profile),
    });
    const recovered = cell.recover();
    if (this.#fence === 1) await this.clock.run(1_000, STEP_MS);
    (await recovered)._unsafeUnwrap();
    this.#cell = cell;
    for (const job of this.#pendingJobs.splice(0)) this.submit(job);
  }

  /** Starts and stops the faults of workers at the times of the load pattern. */
  updateFaults(
    { lostResponses: lostAnswers }: LoadPattern,
    nowMs: number,
  ): void {
    if (lostAnswers === undefined) return;
    const { fromMs, toMs, share, unreachable } = lostAnswers;
    const names = Array.from(
      { length: unreachable },
      (_, index) => `w${index}`,
    );
    if (nowMs === fromMs) {
      this.workers.faults = {
        lostResponseShare: share,
        unreachable: new Set(names),
      };
    }
    if (nowMs === toMs) {
      this.workers.faults = { lostResponseShare: 0, unreachable: new Set() };
    }
  }

  /** Kills the leader. */
  killLeader(): void {
    this.#cell?.close();
    this.#cell = undefined;
  }

  /** Accepted jobs that have not ended and of which nothing runs, without those that would not fit twice on the workers that they may use. */
  idleJobs(): readonly string[] {
    const running = this.workers.runningJobs();
    return [...this.#accepted.values()].filter((job) =>
      !running.has(job.id) && !this.credit.hasEnded(job.id) &&
      this.#fitsTwice(job)
    ).map(({ id }) => id);
  }

  #fitsTwice({ id, spec }: GeneratedJob): boolean {
    const { kinds, capacity, workers } = this.#profile;
    const goodShare = kinds[Number(id[0])]?.goodShare ?? 1;
    return spec.steps.every(({ tasks, amounts, gang }, index) => {
      const step = `${id}.0.${index}`;
      const allowed = workerEntries(workers, capacity)
        .filter((worker) => isAllowed(step, worker.id, goodShare));
      const slots = allowed.length * tasksThatFit(capacity, amounts);
      return slots >= 2 * (gang ? tasks : 1);
    });
  }

  /** Submits a job; retries after a second if it is rejected. */
  submit(job: GeneratedJob, tries = 1): void {
    const { id, queue, team, spec } = job;
    if (this.#cell === undefined) {
      this.#pendingJobs.push(job);
      return;
    }
    this.#cell.submit({ id, queue, team, spec }).then((outcome) => {
      if (outcome.type === "accepted") this.#accepted.set(id, job);
      else if (tries < this.#maxTries) {
        this.clock.after(1_000, () => this.submit(job, tries + 1));
      }
    });
  }
}

function defaultTeams(profile: DeploymentProfile): readonly Team[] {
  const { workers } = profile;
  return Array.from({ length: TEAMS }, (_, index) => ({
    name: teamName(index),
    keys: [],
    weight: teamWeight(index, { profile, workers }),
    limit: NO_AMOUNTS,
  }));
}

function isWithin(
  span: readonly [number, number] | undefined,
  nowMs: number,
): boolean {
  return span !== undefined && nowMs >= span[0] && nowMs < span[1];
}

function createTaskModel(
  jobs: readonly GeneratedJob[],
  { heterogeneity }: DeploymentProfile,
): TaskModel {
  const byId = new Map(jobs.map((job) => [job.id, job]));
  const stepOf = ({ task }: StartRequest) => {
    const [id = "", , step = "0", number = "0"] = task.split(".");
    const job = byId.get(id);
    return { job, index: Number(step), number };
  };
  return {
    durationOf(request, worker) {
      const { job, index, number } = stepOf(request);
      const taskFactor = job?.taskTimes.get(`${index}.${number}`) ?? 1;
      const timeFactor = heterogeneity?.timeFactorOf(workerNumber(worker)) ?? 1;
      return (job?.runMs[index] ?? 0) * taskFactor * timeFactor;
    },
    cpuMillisOf(request) {
      const { job, index } = stepOf(request);
      return job?.spec.steps[index]?.amounts.cpuMillis ?? 0;
    },
    isGang(request) {
      const { job, index } = stepOf(request);
      return job?.spec.steps[index]?.gang === true;
    },
  };
}
