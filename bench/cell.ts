/**
 * Measures the processor time that the leader of a cell spends on scheduling,
 * by the number of workers and of queues. Runs whole cells with the traffic of
 * deployment profiles; the store, the workers and the advice service are
 * simulated in memory.
 *
 * @module
 */
import process from "node:process";
import type { Cell } from "../src/cell/cell.ts";
import { sleep, systemClock } from "../src/clock.ts";
import { type Fields, type Log, silentLog } from "../src/logger.ts";
import { Metrics } from "../src/metrics.ts";
import { createCell, simulatedAdvice } from "./model/cell_harness.ts";
import { ModelStore } from "./model/model_store.ts";
import {
  ModelWorkers,
  type TaskModel,
  workerEntries,
} from "./model/model_workers.ts";
import {
  createQueues,
  type DeploymentProfile,
  GROWN,
  type JobKind,
  LARGE,
  meanStep,
} from "./model/deployment_profiles.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

/** Duration of a measurement, milliseconds. */
const MEASUREMENT_MS = 8_000;
/** Time before the measurement, in which the cell fills, milliseconds. */
const WARM_UP_MS = 4_000;
interface CellSize {
  readonly profile: DeploymentProfile;
  readonly workers: number;
  readonly queues: number;
  /** Factor on the traffic of the profile. */
  readonly load: number;
}

const SIZES: readonly CellSize[] = [
  { profile: GROWN, workers: 33, queues: 45, load: 1 },
  { profile: GROWN, workers: 245, queues: 45, load: 1 },
  { profile: GROWN, workers: 245, queues: 45, load: 1.3 },
  { profile: GROWN, workers: 245, queues: 1_600, load: 1 },
  { profile: GROWN, workers: 490, queues: 45, load: 1 },
  { profile: LARGE, workers: 380, queues: 45, load: 1 },
  { profile: LARGE, workers: 380, queues: 45, load: 1.3 },
  { profile: LARGE, workers: 2_000, queues: 45, load: 1 },
];

/** Measures cells of all sizes. */
export async function benchCell(results: Results, seed: number): Promise<void> {
  // The timers of systemClock do not keep the process alive.
  const alive = setInterval(() => {}, MEASUREMENT_MS);
  for (const size of SIZES) await runSize(results, size, new Random(seed));
  clearInterval(alive);
}

/** Sums up the duration of scheduling passes from the log events of the cell. */
class PassLog implements Log {
  passMs = 0;

  info(event: string, fields: Fields = {}): void {
    if (event === "cell.load") this.passMs += Number(fields.passMs);
  }

  readonly debug = silentLog.debug;
  readonly warn = silentLog.warn;
  readonly error = silentLog.error;
}

async function runSize(
  results: Results,
  size: CellSize,
  random: Random,
): Promise<void> {
  const metrics = new Metrics();
  const log = new PassLog();
  const { profile } = size;
  const tasks: TaskModel = {
    durationOf: ({ spec }) =>
      kindOf(profile, spec).runMs * random.between(0.5, 1.5),
    cpuMillisOf: ({ spec }) => kindOf(profile, spec).cpuMillis,
    isGang: ({ spec }) => kindOf(profile, spec).gangShare === 1,
  };
  const { capacity } = profile;
  const workers = new ModelWorkers(systemClock, tasks, { capacity, random });
  const cell = openCell(size, { log, metrics, workers });
  const opened = await cell.recover();
  opened._unsafeUnwrap();
  const load = startSubmissions(cell, { size, random });
  await sleep(systemClock, WARM_UP_MS);
  const before = {
    cpu: process.cpuUsage(),
    starts: workers.starts,
    passMs: log.passMs,
  };
  await sleep(systemClock, MEASUREMENT_MS);
  const cpu = process.cpuUsage(before.cpu);
  const passMs = log.passMs - before.passMs;
  load.stop();
  cell.close();
  const seconds = MEASUREMENT_MS / 1_000;
  const label =
    `${size.profile.name}_w${size.workers}_q${size.queues}_l${size.load}`;
  results.line(
    `${label}_starts_per_s`,
    (workers.starts - before.starts) / seconds,
  );
  for (const { queue } of size.profile.kinds) {
    const p90 = metrics.percentile("first_start_ms", 90, { queue });
    results.line(`${label}_${queue}_first_start_p90_ms`, p90 ?? NaN);
  }
  results.line(`${label}_cores`, (cpu.user + cpu.system) / 1e6 / seconds);
  results.line(`${label}_pass_ms_per_s`, passMs / seconds);
}

function openCell(
  size: CellSize,
  { log, metrics, workers }: {
    readonly log: Log;
    readonly metrics: Metrics;
    readonly workers: ModelWorkers;
  },
): Cell {
  const { profile } = size;
  const channels = Array.from(
    { length: profile.channels },
    (_, index) => `i${index}`,
  );
  const queues = createQueues(profile, size.queues);
  return createCell({
    clock: systemClock,
    log,
    metrics,
    store: new ModelStore(systemClock),
    workers: workerEntries(size.workers, size.profile.capacity),
    workerClient: workers,
    sendAdviceRequest: simulatedAdvice(systemClock, {
      roundTripMs: profile.adviceRoundTripMs,
      goodShare: (step) => profile.kinds[Number(step[0])]?.goodShare ?? 1,
    }),
    channels,
    set: { version: 1, queues, teams: [], maxBodyBytes: 10_000 },
    fence: 1,
  });
}

function startSubmissions(
  cell: Cell,
  { size, random }: { readonly size: CellSize; readonly random: Random },
): { stop(): void } {
  let stopped = false;
  let number = 0;
  const { kinds, ratePerWorker } = size.profile;
  const meanMs = 1_000 / (ratePerWorker * size.load * size.workers);
  const next = () => {
    if (stopped) return;
    const index = random.weightedIndex(kinds.map((kind) => kind.share));
    const kind = kinds[index]!;
    // The first digit is the index of the kind; the simulated advice reads it.
    const id = `${index}${(number++).toString(16).padStart(15, "0")}`;
    const spec = { payload: kind.queue, steps: [meanStep(kind)] };
    void cell.submit({ id, queue: kind.queue, team: "", spec });
    systemClock.after(random.exponential(meanMs), next);
  };
  next();
  return { stop: () => stopped = true };
}

function kindOf({ kinds }: DeploymentProfile, payload: string): JobKind {
  return kinds.find((kind) => kind.queue === payload) ?? kinds[0]!;
}
