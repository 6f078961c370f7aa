/**
 * Profiles of the users' deployments: their traffic and machines, for
 * simulations of a cell.
 *
 * @module
 */
import type { Amounts, Queue, StepSpec } from "../../src/cell/types.ts";
import { TICKET_VALIDITY_MS } from "./model_workers.ts";
import type { Heterogeneity } from "./heterogeneity.ts";

/** One kind of submissions. */
export interface JobKind {
  readonly queue: string;
  readonly share: number;
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly memoryMib: number;
  readonly runMs: number;
  /** Share of the submissions whose steps are gangs. */
  readonly gangShare: number;
  /** Mean number of steps of a submission. */
  readonly steps: number;
  readonly priority: number;
  /** Variable part of the latency objective, as a factor on the longest chain of steps. */
  readonly stretch: number;
  /** Constant part of the latency objective, milliseconds. */
  readonly objectiveMs: number;
  /** Credit for a submission of mean size that meets its objective. */
  readonly credit: number;
  readonly baseMs: number;
  readonly perWorkerMs: number;
  readonly goodShare: number;
}

/** Traffic and machines of one deployment. */
export interface DeploymentProfile {
  readonly name: string;
  readonly kinds: readonly JobKind[];
  readonly workers: number;
  /** Capacity of each worker. */
  readonly capacity: Amounts;
  /** Round trip of an advice request through another instance, milliseconds. */
  readonly adviceRoundTripMs: number;
  /** Submissions per second and worker. */
  readonly ratePerWorker: number;
  /** Number of instances that relay advice requests. */
  readonly channels: number;
  /** How workers, tasks and teams differ; absent if they are uniform. */
  readonly heterogeneity?: Heterogeneity;
}

const LARGE_WORKER: Amounts = {
  cpuMillis: 64_000,
  memoryMib: 262_144,
  accelerators: 0,
};
const SMALL_WORKER: Amounts = {
  cpuMillis: 32_000,
  memoryMib: 65_536,
  accelerators: 0,
};
/**
 * Round trip of an advice request, with the wait for the next scheduling pass
 * of a busy leader, milliseconds; source: the log of nevero-picos in its
 * busiest seconds.
 */
const BUSY_ROUND_TRIP_MS = 55;

/** Source: the profiles of the deployments with 245 workers. */
export const GROWN: DeploymentProfile = {
  name: "grown",
  workers: 245,
  capacity: LARGE_WORKER,
  adviceRoundTripMs: 0,
  ratePerWorker: 96 / 245,
  channels: 39,
  kinds: [
    {
      queue: "billing",
      share: 0.025,
      tasks: 20,
      cpuMillis: 18_000,
      memoryMib: 14_000,
      runMs: 6_200,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      credit: 8.53,
      baseMs: 540,
      perWorkerMs: 7.7,
      goodShare: 0.25,
    },
    {
      queue: "reconciliation",
      share: 0.065,
      tasks: 25,
      cpuMillis: 6_900,
      memoryMib: 14_000,
      runMs: 2_700,
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
      queue: "receipts",
      share: 0.91,
      tasks: 3,
      cpuMillis: 9_900,
      memoryMib: 14_000,
      runMs: 640,
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

/**
 * The profile of tkcs-counters.
 *
 * `instances`: how many of its seven are left.
 */
export function counters(instances: number): DeploymentProfile {
  return {
    name: `counters_${instances}`,
    workers: 33,
    capacity: LARGE_WORKER,
    adviceRoundTripMs: 5,
    ratePerWorker: 38.3 / 33,
    channels: instances,
    kinds: [
      {
        queue: "billing",
        share: 0.807 / 38.3,
        tasks: 8,
        cpuMillis: 18_000,
        memoryMib: 52_000,
        runMs: 6_200,
        gangShare: 1,
        steps: 1.2,
        priority: 1,
        stretch: 2.2,
        objectiveMs: 1_000,
        credit: 19.5,
        baseMs: 814,
        perWorkerMs: 8.1,
        goodShare: 0.25,
      },
      {
        queue: "reconciliation",
        share: 3.81 / 38.3,
        tasks: 10,
        cpuMillis: 3_900,
        memoryMib: 8_000,
        runMs: 2_700,
        gangShare: 0,
        steps: 1.5,
        priority: 2,
        stretch: 4,
        objectiveMs: 3_000,
        credit: 2.59,
        baseMs: 82,
        perWorkerMs: 0.82,
        goodShare: 0.45,
      },
      {
        queue: "receipts",
        share: 33.7 / 38.3,
        tasks: 2,
        cpuMillis: 5_600,
        memoryMib: 11_000,
        runMs: 640,
        gangShare: 0.3,
        steps: 1,
        priority: 0,
        stretch: 1.5,
        objectiveMs: 250,
        credit: 0.41,
        baseMs: 9.3,
        perWorkerMs: 0.093,
        goodShare: 0.7,
      },
    ],
  };
}

/** Source: the profile of the deployment with 380 workers. */
export const LARGE: DeploymentProfile = {
  name: "large",
  workers: 380,
  capacity: LARGE_WORKER,
  adviceRoundTripMs: 0,
  ratePerWorker: 80.6 / 380,
  channels: 97,
  kinds: [
    {
      queue: "billing",
      share: 0.047,
      tasks: 20,
      cpuMillis: 18_000,
      memoryMib: 37_000,
      runMs: 6_200,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      credit: 8.53,
      baseMs: 857,
      perWorkerMs: 8.6,
      goodShare: 0.25,
    },
    {
      queue: "reconciliation",
      share: 0.096,
      tasks: 24,
      cpuMillis: 11_000,
      memoryMib: 41_000,
      runMs: 2_200,
      gangShare: 0,
      steps: 1.5,
      priority: 2,
      stretch: 4,
      objectiveMs: 3_000,
      credit: 2.62,
      baseMs: 200,
      perWorkerMs: 2,
      goodShare: 0.45,
    },
    {
      queue: "receipts",
      share: 0.857,
      tasks: 3,
      cpuMillis: 16_000,
      memoryMib: 58_000,
      runMs: 800,
      gangShare: 0.3,
      steps: 1,
      priority: 0,
      stretch: 1.5,
      objectiveMs: 250,
      credit: 0.413,
      baseMs: 22.9,
      perWorkerMs: 0.23,
      goodShare: 0.7,
    },
  ],
};

/** Source: the profile of nevero-picos. */
export const PICOS: DeploymentProfile = {
  name: "picos",
  workers: 33,
  capacity: SMALL_WORKER,
  adviceRoundTripMs: BUSY_ROUND_TRIP_MS,
  ratePerWorker: 39.6 / 33,
  channels: 6,
  kinds: [
    {
      queue: "maps",
      share: 0.026,
      tasks: 6,
      cpuMillis: 9_000,
      memoryMib: 9_000,
      runMs: 6_200,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      credit: 16,
      baseMs: 390,
      perWorkerMs: 5.5,
      goodShare: 0.35,
    },
    {
      queue: "intake",
      share: 0.121,
      tasks: 10,
      cpuMillis: 2_000,
      memoryMib: 2_800,
      runMs: 2_200,
      gangShare: 0,
      steps: 1.5,
      priority: 2,
      stretch: 4,
      objectiveMs: 3_000,
      credit: 2.13,
      baseMs: 42,
      perWorkerMs: 0.6,
      goodShare: 0.45,
    },
    {
      queue: "lookups",
      share: 0.853,
      tasks: 2,
      cpuMillis: 2_800,
      memoryMib: 2_900,
      runMs: 640,
      gangShare: 0.3,
      steps: 1,
      priority: 0,
      stretch: 1.5,
      objectiveMs: 250,
      credit: 0.42,
      baseMs: 5.6,
      perWorkerMs: 0.08,
      goodShare: 0.7,
    },
  ],
};

const TALL_WORKER: Amounts = {
  cpuMillis: 32_000,
  memoryMib: 131_072,
  accelerators: 0,
};

/** Source: the profile of tkcs-counters-now-grown. */
export const SHIFTED: DeploymentProfile = {
  name: "shifted",
  workers: 245,
  capacity: TALL_WORKER,
  adviceRoundTripMs: 13,
  ratePerWorker: 52.3 / 245,
  channels: 36,
  kinds: [
    {
      queue: "billing",
      share: 0.039,
      tasks: 20,
      cpuMillis: 9_000,
      memoryMib: 26_000,
      runMs: 5_000,
      gangShare: 1,
      steps: 1.2,
      priority: 1,
      stretch: 2.2,
      objectiveMs: 1_000,
      credit: 9.76,
      baseMs: 480,
      perWorkerMs: 6.8,
      goodShare: 0.25,
    },
    {
      queue: "reconciliation",
      share: 0.155,
      tasks: 25,
      cpuMillis: 3_200,
      memoryMib: 6_500,
      runMs: 2_700,
      gangShare: 0,
      steps: 1.5,
      priority: 2,
      stretch: 4,
      objectiveMs: 3_000,
      credit: 2.65,
      baseMs: 100,
      perWorkerMs: 1.4,
      goodShare: 0.45,
    },
    {
      queue: "receipts",
      share: 0.806,
      tasks: 3,
      cpuMillis: 4_500,
      memoryMib: 17_000,
      runMs: 1_000,
      gangShare: 0.3,
      steps: 1,
      priority: 0,
      stretch: 1.5,
      objectiveMs: 250,
      credit: 0.414,
      baseMs: 11,
      perWorkerMs: 0.16,
      goodShare: 0.7,
    },
  ],
};

/** The same traffic on the workers that are left while a zone is evacuated. */
export const SHIFTED_EVACUATED: DeploymentProfile = {
  ...SHIFTED,
  name: "shifted_evacuated",
  workers: 163,
  ratePerWorker: 52.3 / 163,
};

/** A step of the mean size of a kind. */
export function meanStep(kind: JobKind): StepSpec {
  return {
    tasks: kind.tasks,
    amounts: {
      cpuMillis: kind.cpuMillis,
      memoryMib: kind.memoryMib,
      accelerators: 0,
    },
    estimateMs: kind.runMs,
    after: [],
    gang: kind.gangShare === 1,
    requiredLabel: "",
    dataRack: "",
    sameRack: false,
    maxPerWorker: 0,
    longRunning: false,
    backfill: false,
  };
}

/** `count` queues: idle ones, followed by one for each kind. */
export function createQueues(
  { kinds }: DeploymentProfile,
  count: number,
): readonly Queue[] {
  const used = kinds.map((kind) => createQueue(kind.queue, kind));
  const idle = Array.from(
    { length: count - used.length },
    (_, index) => createQueue(`idle-${index}`, kinds[0]!),
  );
  return [...idle, ...used];
}

function createQueue(name: string, kind: JobKind): Queue {
  return {
    name,
    host: "shop.example",
    pathPrefix: `/${name}/`,
    service: "copier",
    priority: kind.priority,
    attempts: 4,
    stretch: kind.stretch,
    objectiveMs: kind.objectiveMs,
    open: true,
    advice: {
      baseMs: kind.baseMs,
      perWorkerMs: kind.perWorkerMs,
      ticketMs: TICKET_VALIDITY_MS,
    },
  };
}
