/**
 * A deployment with workers of different speed and demand that changes over
 * time.
 *
 * @module
 */
import type { CellOptions } from "../../src/cell/cell_options.ts";
import { RunTimes } from "../../src/cell/decisions/run_times.ts";
import { Fleet, type FleetWorker } from "../../src/cell/fleet.ts";
import type { StepRun } from "../../src/cell/job.ts";
import { Random } from "../random.ts";
import { TEAMS } from "./generated_jobs.ts";
import type { LoadPattern } from "./load_patterns.ts";
import type { DeploymentProfile } from "./deployment_profiles.ts";
import {
  type Heterogeneity,
  sampleTime,
  type TaskTimeDistribution,
  workerNumber,
} from "./heterogeneity.ts";

/** Run time factors, assigned to the workers in turn: a third each has a speed of 0.6, 1 and 1.6. */
const TIME_FACTORS = [1 / 0.6, 1, 1 / 1.6] as const;
/** Exponent of the skew of team sizes: with 1, the n-th largest team sends 1/n of the largest. */
const TEAM_SKEW = 1;
/** Number of samples from which the quantiles of run times are taken. */
const SAMPLE_COUNT = 10_000;
const SAMPLE_SEED = 1;

const HETEROGENEITY: Heterogeneity = {
  timeFactorOf: (worker) => TIME_FACTORS[worker % TIME_FACTORS.length]!,
  isKnown: true,
  taskTimeDistribution: { deviation: 0.25, longShare: 0.03, longFactor: 7 },
  teamShares: skewedShares(TEAMS, TEAM_SKEW),
};

/** Source: the table and the measurements in docs/design/hard_load.md. */
export const UNEVEN: DeploymentProfile = {
  name: "uneven",
  workers: 245,
  capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 },
  adviceRoundTripMs: 0,
  ratePerWorker: 78 / 245,
  channels: 39,
  heterogeneity: HETEROGENEITY,
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
      credit: 8.53,
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
      credit: 2.62,
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
      credit: 0.413,
      baseMs: 7.2,
      perWorkerMs: 0.1,
      goodShare: 0.7,
    },
  ],
};

/** The same deployment with a cell that starts without estimates of speeds and run times. */
export const UNEVEN_UNKNOWN: DeploymentProfile = {
  ...UNEVEN,
  name: "uneven_unknown",
  heterogeneity: { ...HETEROGENEITY, isKnown: false },
};

/** Amplitude of the change of demand, as a part of the usual demand. */
const DEMAND_AMPLITUDE = 0.3;
/** Time between two peaks, milliseconds. */
const DEMAND_PERIOD_MS = 10_000;

/** Demand that rises and falls with a phase per kind, as in zones with different hours of day. */
export const UNEVEN_DEMAND: LoadPattern = {
  name: "uneven_demand",
  durationMs: 20_000,
  tailMs: 60_000,
  factor: ({ priority }, atMs) =>
    1 +
    DEMAND_AMPLITUDE *
      Math.sin(2 * Math.PI * (atMs / DEMAND_PERIOD_MS + priority / 3)),
};

/** Estimates of worker speeds and run times that a leader has when its term begins. */
export function initialEstimates(
  profile: DeploymentProfile,
): Pick<CellOptions, "fleet" | "runTimes"> {
  const { heterogeneity } = profile;
  if (heterogeneity === undefined || !heterogeneity.isKnown) return {};
  return {
    fleet: new KnownFleet(heterogeneity.timeFactorOf),
    runTimes: new KnownRunTimes(heterogeneity.taskTimeDistribution),
  };
}

/** Run time estimates whose mean is learned and whose distribution is that of the profile. */
class KnownRunTimes extends RunTimes {
  readonly #independent: readonly number[];
  readonly #gang: readonly number[];

  constructor(taskTimeDistribution: TaskTimeDistribution) {
    super();
    this.#independent = sampleTimes(taskTimeDistribution);
    this.#gang = sampleTimes(undefined);
  }

  override expectedMs(step: StepRun, quantile: number): number {
    const runTimes = step.spec.gang ? this.#gang : this.#independent;
    const at = Math.min(
      runTimes.length - 1,
      Math.floor(quantile * runTimes.length),
    );
    return runTimes[at]! * super.expectedMs(step, quantile);
  }
}

/** Sampled run times over their mean, ascending. */
function sampleTimes(
  taskTimeDistribution: TaskTimeDistribution | undefined,
): readonly number[] {
  const random = new Random(SAMPLE_SEED);
  const drawn = Array.from(
    { length: SAMPLE_COUNT },
    () => sampleTime(taskTimeDistribution, random),
  ).sort((a, b) => a - b);
  const mean = drawn.reduce((sum, time) => sum + time, 0) / drawn.length;
  return drawn.map((time) => time / mean);
}

/** A fleet whose worker speeds are known from the start. */
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
