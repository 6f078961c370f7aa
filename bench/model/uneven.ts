/**
 * A deployment whose workers are of uneven speed, with uneven demand.
 *
 * @module
 */
import type { CellOptions } from "../../src/cell/cell_options.ts";
import { RunTimes } from "../../src/cell/decisions/run_times.ts";
import { Fleet, type FleetWorker } from "../../src/cell/fleet.ts";
import type { StepRun } from "../../src/cell/job.ts";
import { Random } from "../random.ts";
import { TEAMS } from "./drawn_jobs.ts";
import type { Load } from "./loads.ts";
import type { Sheet } from "./sheets.ts";
import {
  drawTime,
  type TaskSpread,
  type Unevenness,
  workerNumber,
} from "./unevenness.ts";

/** Time factors of the workers, in turn: a third each has a speed of 0.6, 1 and 1.6. */
const TIME_FACTORS = [1 / 0.6, 1, 1 / 1.6] as const;
/** How fast the submissions of the teams fall with their size: the n-th largest sends 1/n of the largest. */
const TEAM_SKEW = 1;
/** Draws from which the quantiles of run times are taken. */
const SPREAD_DRAWS = 10_000;
const SPREAD_SEED = 1;

const UNEVENNESS: Unevenness = {
  timeFactorOf: (worker) => TIME_FACTORS[worker % TIME_FACTORS.length]!,
  isKnown: true,
  taskSpread: { deviation: 0.25, longShare: 0.03, longTimes: 7 },
  teamShares: skewedShares(TEAMS, TEAM_SKEW),
};

/** Source: the table and the measurements in docs/design/hard_load.md. */
export const UNEVEN: Sheet = {
  name: "uneven",
  workers: 245,
  capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 },
  wayMs: 0,
  ratePerWorker: 78 / 245,
  lanes: 39,
  uneven: UNEVENNESS,
  kinds: [
    {
      queue: "rendering",
      share: 0.033,
      tasks: 20,
      cpuMillis: 4_500,
      memoryMib: 6_000,
      runMs: 4_100,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      worth: 8.53,
      baseMs: 600,
      perWorkerMs: 7.8,
      goodShare: 0.29,
    },
    {
      queue: "indexing",
      share: 0.07,
      tasks: 25,
      cpuMillis: 1_700,
      memoryMib: 2_500,
      runMs: 2_800,
      gangShare: 0,
      steps: 1.2,
      priority: 2,
      stretch: 4,
      objectiveMs: 3_000,
      worth: 2.62,
      baseMs: 240,
      perWorkerMs: 2,
      goodShare: 0.45,
    },
    {
      queue: "checks",
      share: 0.897,
      tasks: 3,
      cpuMillis: 2_500,
      memoryMib: 4_000,
      runMs: 600,
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

/** The same with a cell that knows nothing of speeds. */
export const UNEVEN_UNKNOWN: Sheet = {
  ...UNEVEN,
  name: "uneven_unknown",
  uneven: { ...UNEVENNESS, isKnown: false },
};

/** Part of the usual demand by which it rises and falls. */
const SWING = 0.3;
/** Time from one peak to the next, milliseconds. */
const PERIOD_MS = 10_000;

/** Demand that swings, each kind's at another time, as that of zones with other hours of day. */
export const UNEVEN_DEMAND: Load = {
  name: "uneven_demand",
  lengthMs: 20_000,
  tailMs: 60_000,
  factor: ({ priority }, atMs) =>
    1 + SWING * Math.sin(2 * Math.PI * (atMs / PERIOD_MS + priority / 3)),
};

/** What a holder knows of a sheet's workers and run times when it takes the cell. */
export function knownOf(
  sheet: Sheet,
): Pick<CellOptions, "fleet" | "runTimes"> {
  const { uneven } = sheet;
  if (uneven === undefined || !uneven.isKnown) return {};
  return {
    fleet: new KnownFleet(uneven.timeFactorOf),
    runTimes: new KnownRunTimes(uneven.taskSpread),
  };
}

/** Run times whose mean is learned and whose spread is that of the sheet. */
class KnownRunTimes extends RunTimes {
  readonly #alone: readonly number[];
  readonly #gang: readonly number[];

  constructor(taskSpread: TaskSpread) {
    super();
    this.#alone = drawTimes(taskSpread);
    this.#gang = drawTimes(undefined);
  }

  override expectedMs(step: StepRun, quantile: number): number {
    const times = step.spec.gang ? this.#gang : this.#alone;
    const at = Math.min(times.length - 1, Math.floor(quantile * times.length));
    return times[at]! * super.expectedMs(step, quantile);
  }
}

/** Run times over their mean, ascending. */
function drawTimes(taskSpread: TaskSpread | undefined): readonly number[] {
  const random = new Random(SPREAD_SEED);
  const drawn = Array.from(
    { length: SPREAD_DRAWS },
    () => drawTime(taskSpread, random),
  ).sort((a, b) => a - b);
  const mean = drawn.reduce((sum, time) => sum + time, 0) / drawn.length;
  return drawn.map((time) => time / mean);
}

/** Workers whose speeds are known from the start. */
class KnownFleet extends Fleet {
  readonly #timeFactorOf: (worker: number) => number;

  constructor(timeFactorOf: (worker: number) => number) {
    super();
    this.#timeFactorOf = timeFactorOf;
  }

  override getOrCreate(id: string): FleetWorker {
    const isNew = !this.workers.has(id);
    const worker = super.getOrCreate(id);
    if (isNew) worker.timeFactor = this.#timeFactorOf(workerNumber(id));
    return worker;
  }
}

function skewedShares(count: number, skew: number): readonly number[] {
  const sizes = Array.from(
    { length: count },
    (_, index) => (index + 1) ** -skew,
  );
  const sum = sizes.reduce((all, size) => all + size, 0);
  return sizes.map((size) => size / sum);
}
