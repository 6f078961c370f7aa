/**
 * What one holder of a cell spends on its decisions, by the number of workers
 * and of queues: whole cells with the traffic of the users' grown sheets, and
 * in place of the connections a store, workers and an advice service in memory.
 *
 * @module
 */
import process from "node:process";
import type { Cell } from "../src/cell/cell.ts";
import { sleep, systemClock } from "../src/clock.ts";
import { type Fields, type Log, silentLog } from "../src/logger.ts";
import { Metrics } from "../src/metrics.ts";
import { cellOver, slowAdvice } from "./model/cell_world.ts";
import { ModelStore } from "./model/model_store.ts";
import {
  type ModelTasks,
  ModelWorkers,
  workerEntries,
} from "./model/model_workers.ts";
import {
  GROWN,
  type Kind,
  LARGE,
  meanStep,
  queuesOf,
  type Sheet,
} from "./model/sheets.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

/** Time of a run whose cost is counted, milliseconds. */
const RUN_MS = 8_000;
/** Time before it in which the cell fills, milliseconds. */
const WARM_MS = 4_000;
interface Size {
  readonly sheet: Sheet;
  readonly workers: number;
  readonly queues: number;
  /** Of the sheets' traffic. */
  readonly load: number;
}

const SIZES: readonly Size[] = [
  { sheet: GROWN, workers: 33, queues: 45, load: 1 },
  { sheet: GROWN, workers: 245, queues: 45, load: 1 },
  { sheet: GROWN, workers: 245, queues: 45, load: 1.3 },
  { sheet: GROWN, workers: 245, queues: 1_600, load: 1 },
  { sheet: GROWN, workers: 490, queues: 45, load: 1 },
  { sheet: LARGE, workers: 380, queues: 45, load: 1 },
  { sheet: LARGE, workers: 380, queues: 45, load: 1.3 },
  { sheet: LARGE, workers: 2_000, queues: 45, load: 1 },
];

/** Runs all sizes. */
export async function benchCell(results: Results, seed: number): Promise<void> {
  // Timers of the system's clock keep no process alive.
  const alive = setInterval(() => {}, RUN_MS);
  for (const size of SIZES) await runSize(results, size, new Random(seed));
  clearInterval(alive);
}

/** Sums up the time of passes that the cell tells of. */
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
  size: Size,
  random: Random,
): Promise<void> {
  const metrics = new Metrics();
  const log = new PassLog();
  const { sheet } = size;
  const tasks: ModelTasks = {
    durationOf: ({ spec }) =>
      kindOf(sheet, spec).runMs * random.between(0.5, 1.5),
    cpuMillisOf: ({ spec }) => kindOf(sheet, spec).cpuMillis,
    isGang: ({ spec }) => kindOf(sheet, spec).gangShare === 1,
  };
  const { capacity } = sheet;
  const workers = new ModelWorkers(systemClock, tasks, { capacity, random });
  const cell = openCell(size, { log, metrics, workers });
  const opened = await cell.recover();
  opened._unsafeUnwrap();
  const load = submitUntil(cell, { size, random });
  await sleep(systemClock, WARM_MS);
  const before = {
    cpu: process.cpuUsage(),
    starts: workers.starts,
    passMs: log.passMs,
  };
  await sleep(systemClock, RUN_MS);
  const cpu = process.cpuUsage(before.cpu);
  const passMs = log.passMs - before.passMs;
  load.stop();
  cell.close();
  const seconds = RUN_MS / 1_000;
  const label =
    `${size.sheet.name}_w${size.workers}_q${size.queues}_l${size.load}`;
  results.line(
    `${label}_starts_per_s`,
    (workers.starts - before.starts) / seconds,
  );
  for (const { queue } of size.sheet.kinds) {
    const p90 = metrics.percentile("first_start_ms", 90, { queue });
    results.line(`${label}_${queue}_first_start_p90_ms`, p90 ?? NaN);
  }
  results.line(`${label}_cores`, (cpu.user + cpu.system) / 1e6 / seconds);
  results.line(`${label}_pass_ms_per_s`, passMs / seconds);
}

function openCell(
  size: Size,
  { log, metrics, workers }: {
    readonly log: Log;
    readonly metrics: Metrics;
    readonly workers: ModelWorkers;
  },
): Cell {
  const { sheet } = size;
  const lanes = Array.from({ length: sheet.lanes }, (_, index) => `i${index}`);
  const queues = queuesOf(sheet, size.queues);
  return cellOver({
    clock: systemClock,
    log,
    metrics,
    store: new ModelStore(systemClock),
    workers: workerEntries(size.workers, size.sheet.capacity),
    orders: workers,
    ask: slowAdvice(systemClock, {
      wayMs: sheet.wayMs,
      goodShare: (step) => sheet.kinds[Number(step[0])]?.goodShare ?? 1,
    }),
    lanes,
    set: { version: 1, queues, teams: [], maxBodyBytes: 10_000 },
    fence: 1,
  });
}

function submitUntil(
  cell: Cell,
  { size, random }: { readonly size: Size; readonly random: Random },
): { stop(): void } {
  let stopped = false;
  let number = 0;
  const { kinds, ratePerWorker } = size.sheet;
  const meanMs = 1_000 / (ratePerWorker * size.load * size.workers);
  const next = () => {
    if (stopped) return;
    const index = random.weighted(kinds.map((kind) => kind.share));
    const kind = kinds[index]!;
    // The first digit tells the advice service of the kind.
    const id = `${index}${(number++).toString(16).padStart(15, "0")}`;
    const spec = { payload: kind.queue, steps: [meanStep(kind)] };
    void cell.submit({ id, queue: kind.queue, team: "", spec });
    systemClock.after(random.exponential(meanMs), next);
  };
  next();
  return { stop: () => stopped = true };
}

function kindOf({ kinds }: Sheet, payload: string): Kind {
  return kinds.find((kind) => kind.queue === payload) ?? kinds[0]!;
}
