/**
 * Plays load patterns through the decisions of a cell in virtual time and tells
 * what its callers got: credit by kind of submission, and the processor time of
 * it all. A change of a decision is weighed in seconds.
 *
 * @module
 */
import process from "node:process";
import type { Cell } from "../src/cell/cell.ts";
import type { StartRequest } from "../src/cell/ports.ts";
import { NO_AMOUNTS, type Team } from "../src/cell/types.ts";
import { ManualClock } from "../src/clock.ts";
import { Metrics } from "../src/metrics.ts";
import { cellOver, slowAdvice } from "./model/cell_world.ts";
import {
  CreditLog,
  drawJobs,
  type DrawnJob,
  teamName,
  TEAMS,
  weightOf,
} from "./model/drawn_jobs.ts";
import { LARGE, PICOS, queuesOf, type Sheet } from "./model/sheets.ts";
import { HOT_BURST, type Load, LOADS, LOST_ANSWERS } from "./model/loads.ts";
import { ModelStore } from "./model/model_store.ts";
import { CROWDED, TEAM_LOADS } from "./model/team_loads.ts";
import {
  type ModelTasks,
  ModelWorkers,
  workerEntries,
} from "./model/model_workers.ts";
import { knownOf, UNEVEN, UNEVEN_DEMAND } from "./model/uneven.ts";
import { workerNumber } from "./model/unevenness.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

/** Queues of the operators' set, most of them idle. */
const QUEUES = 45;
/** Time after the last submission until the credit is counted, milliseconds. */
const TAIL_MS = 30_000;
/** Steps of the virtual clock, milliseconds. */
const STEP_MS = 2;
/** Time from the death of a holder until the next has the cell, milliseconds. */
const TAKEOVER_MS = 1_500;

/** Load patterns, each with the sheet on which it is worst. */
export const REPLAYS: readonly Replay[] = [
  ...LOADS.map((load) => ({ sheet: LARGE, load })),
  ...LOADS.map((load) => ({ sheet: PICOS, load })),
  { sheet: PICOS, load: HOT_BURST },
  { sheet: PICOS, load: LOST_ANSWERS },
  { sheet: UNEVEN, load: UNEVEN_DEMAND },
  ...TEAM_LOADS.map((load) => ({ sheet: CROWDED, load })),
];

/** A load pattern on a deployment. */
export interface Replay {
  readonly sheet: Sheet;
  readonly load: Load;
}

/** Plays all load patterns. */
export async function benchReplay(
  results: Results,
  seed: number,
): Promise<void> {
  for (const { sheet, load } of REPLAYS) {
    const before = process.cpuUsage();
    const { credit, world } = await replay({ sheet, load }, seed);
    const cpu = process.cpuUsage(before);
    const label = `${sheet.name}_${load.name}`;
    for (const { queue } of sheet.kinds) {
      results.line(`${label}_${queue}`, credit.shareOf(queue));
    }
    if (load.lostAnswers !== undefined) {
      results.line(`${label}_settled_in_time`, credit.settledShare);
      results.line(`${label}_least_usable`, credit.leastUsable);
    }
    if (sheet.uneven !== undefined) {
      for (const { queue } of sheet.kinds) {
        results.line(`${label}_${queue}_in_time`, credit.inTimeOf(queue));
      }
    }
    results.line(`${label}_all`, credit.share);
    results.line(`${label}_other_teams`, credit.shareOfOthers);
    if (load.teams !== undefined) tellTeams(results, label, credit);
    const cpuMs = (cpu.user + cpu.system) / 1e3;
    const seconds = world.clock.monotonic() / 1e3;
    results.line(`${label}_cpu_ms_per_s`, cpuMs / seconds);
    results.atMost(`${label}_overfilled`, world.workers.overfilled, 0);
  }
}

function tellTeams(results: Results, label: string, credit: CreditLog): void {
  results.line(`${label}_worst_tenth`, credit.shareOfWorstTenth);
  for (const [key, waitedMs] of credit.waitedMs) {
    const name = key.replace(" ", "_");
    results.line(`${label}_${name}_s`, waitedMs / 1_000);
  }
}

/** Plays one load pattern; gives what its callers got. */
export async function replay(
  { sheet, load }: Replay,
  seed: number,
): Promise<{ readonly credit: CreditLog; readonly world: ReplayWorld }> {
  const { workers } = sheet;
  const jobs = drawJobs(sheet, { load, workers }, new Random(seed));
  const world = new ReplayWorld(sheet, jobs, {
    random: new Random(seed),
    teams: load.teams?.map(({ team }) => team) ?? teamsOf(sheet),
  });
  await world.open();
  let at = 0;
  const endMs = load.lengthMs + (load.tailMs ?? TAIL_MS);
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    for (; at < jobs.length && jobs[at]!.atMs <= nowMs; at++) {
      world.submit(jobs[at]!);
    }
    world.store.away = isWithin(load.storeAwayMs, nowMs);
    world.troubleWorkers(load, nowMs);
    if (load.killedMs === nowMs) world.kill();
    if (load.killedMs !== undefined && nowMs === load.killedMs + TAKEOVER_MS) {
      void world.open();
    }
    await world.clock.run(STEP_MS, STEP_MS);
  }
  return { credit: world.credit, world };
}

/** A cell among models, which may die and be taken over. */
export class ReplayWorld {
  readonly clock = new ManualClock();
  readonly store = new ModelStore(this.clock);
  readonly workers: ModelWorkers;
  readonly credit: CreditLog;
  readonly #sheet: Sheet;
  readonly #teams: readonly Team[];
  #cell: Cell | undefined;
  #fence = 0;
  /** Submissions that came while nobody held the cell. */
  #unserved: DrawnJob[] = [];

  constructor(
    sheet: Sheet,
    jobs: readonly DrawnJob[],
    { random, teams }: {
      readonly random: Random;
      readonly teams: readonly Team[];
    },
  ) {
    this.#sheet = sheet;
    this.#teams = teams;
    const { capacity } = sheet;
    const tasks = tasksOf(jobs, sheet);
    this.workers = new ModelWorkers(this.clock, tasks, { capacity, random });
    this.credit = new CreditLog(jobs, this.clock);
  }

  /** The next holder takes the cell. */
  async open(): Promise<void> {
    const sheet = this.#sheet;
    const { workers, capacity, lanes, kinds, wayMs } = sheet;
    const cell = cellOver({
      clock: this.clock,
      log: this.credit,
      metrics: new Metrics(),
      store: this.store,
      workers: workerEntries(workers, capacity),
      orders: this.workers,
      ask: slowAdvice(this.clock, {
        wayMs,
        goodShare: (step) => kinds[Number(step[0])]?.goodShare ?? 1,
      }),
      lanes: Array.from({ length: lanes }, (_, index) => `i${index}`),
      set: {
        version: 1,
        queues: queuesOf(sheet, QUEUES),
        teams: this.#teams,
        maxBodyBytes: 10_000,
      },
      fence: ++this.#fence,
      known: knownOf(sheet),
    });
    const recovered = cell.recover();
    if (this.#fence === 1) await this.clock.run(1_000, STEP_MS);
    (await recovered)._unsafeUnwrap();
    this.#cell = cell;
    for (const job of this.#unserved.splice(0)) this.submit(job);
  }

  /** Begins and ends the time in which answers are lost. */
  troubleWorkers({ lostAnswers }: Load, nowMs: number): void {
    if (lostAnswers === undefined) return;
    const { fromMs, toMs, share, dark } = lostAnswers;
    const names = Array.from({ length: dark }, (_, index) => `w${index}`);
    if (nowMs === fromMs) {
      this.workers.trouble = { lostShare: share, dark: new Set(names) };
    }
    if (nowMs === toMs) {
      this.workers.trouble = { lostShare: 0, dark: new Set() };
    }
  }

  /** The holder dies. */
  kill(): void {
    this.#cell?.close();
    this.#cell = undefined;
  }

  /** Hands a submission in; one that is refused comes back after a second. */
  submit(job: DrawnJob): void {
    const { id, queue, team, spec } = job;
    if (this.#cell === undefined) {
      this.#unserved.push(job);
      return;
    }
    this.#cell.submit({ id, queue, team, spec }).then((outcome) => {
      if (outcome.type !== "accepted") {
        this.clock.after(1_000, () => this.submit(job));
      }
    });
  }
}

function teamsOf(sheet: Sheet): readonly Team[] {
  const { workers } = sheet;
  return Array.from({ length: TEAMS }, (_, index) => ({
    name: teamName(index),
    keys: [],
    weight: weightOf(index, { sheet, workers }),
    limit: NO_AMOUNTS,
  }));
}

function isWithin(
  span: readonly [number, number] | undefined,
  nowMs: number,
): boolean {
  return span !== undefined && nowMs >= span[0] && nowMs < span[1];
}

function tasksOf(
  jobs: readonly DrawnJob[],
  { uneven }: Sheet,
): ModelTasks {
  const byId = new Map(jobs.map((job) => [job.id, job]));
  const stepOf = ({ task }: StartRequest) => {
    const [id = "", , step = "0", number = "0"] = task.split(".");
    const job = byId.get(id);
    return { job, index: Number(step), number };
  };
  return {
    durationOf(order, worker) {
      const { job, index, number } = stepOf(order);
      const times = job?.taskTimes.get(`${index}.${number}`) ?? 1;
      const timeFactor = uneven?.timeFactorOf(workerNumber(worker)) ?? 1;
      return (job?.runMs[index] ?? 0) * times * timeFactor;
    },
    cpuMillisOf(order) {
      const { job, index } = stepOf(order);
      return job?.spec.steps[index]?.amounts.cpuMillis ?? 0;
    },
    isGang(order) {
      const { job, index } = stepOf(order);
      return job?.spec.steps[index]?.gang === true;
    },
  };
}
