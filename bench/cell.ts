/**
 * What one holder of a cell spends on its decisions, by the number of workers
 * and of queues: whole cells with the traffic of the users' grown sheets, and
 * in place of the connections a store, workers and an advice service in memory.
 *
 * @module
 */
import process from "node:process";
import { AdviceDesk } from "../src/cell/advice_desk.ts";
import { Cell } from "../src/cell/cell.ts";
import type { JobSpec, Queue, StepSpec } from "../src/cell/types.ts";
import { sleep, systemClock } from "../src/clock.ts";
import { silentLog } from "../src/logger.ts";
import { Metrics } from "../src/metrics.ts";
import {
  ModelWorkers,
  slowAdvice,
  slowStore,
  workerEntries,
} from "./model/cell_world.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

/** Time of a run whose cost is counted, milliseconds. */
const RUN_MS = 8_000;
/** Time before it in which the cell fills, milliseconds. */
const WARM_MS = 4_000;
/** Instances that carry questions for advice. */
const LANES = 39;
/** Submissions a second of the sheet with 245 workers. */
const RATE_AT_245 = 96;

/** One kind of submission; source: the sheets of the grown sites. */
interface Kind {
  readonly queue: string;
  readonly share: number;
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly runMs: number;
  readonly gang: boolean;
  readonly priority: number;
  readonly baseMs: number;
  readonly perWorkerMs: number;
  readonly goodShare: number;
}

const KINDS: readonly Kind[] = [
  {
    queue: "billing",
    share: 0.025,
    tasks: 20,
    cpuMillis: 18_000,
    runMs: 6_200,
    gang: true,
    priority: 1,
    baseMs: 540,
    perWorkerMs: 7.7,
    goodShare: 0.25,
  },
  {
    queue: "reconciliation",
    share: 0.065,
    tasks: 25,
    cpuMillis: 6_900,
    runMs: 2_700,
    gang: false,
    priority: 2,
    baseMs: 100,
    perWorkerMs: 1.4,
    goodShare: 0.45,
  },
  {
    queue: "receipts",
    share: 0.91,
    tasks: 3,
    cpuMillis: 9_900,
    runMs: 640,
    gang: false,
    priority: 0,
    baseMs: 7.2,
    perWorkerMs: 0.1,
    goodShare: 0.7,
  },
];

interface Size {
  readonly workers: number;
  readonly queues: number;
  /** Of the sheets' traffic. */
  readonly load: number;
}

const SIZES: readonly Size[] = [
  { workers: 33, queues: 45, load: 1 },
  { workers: 245, queues: 45, load: 1 },
  { workers: 245, queues: 45, load: 1.3 },
  { workers: 245, queues: 1_600, load: 1 },
  { workers: 490, queues: 45, load: 1 },
];

/** Runs all sizes. */
export async function benchCell(results: Results, seed: number): Promise<void> {
  // Timers of the system's clock keep no process alive.
  const alive = setInterval(() => {}, RUN_MS);
  for (const size of SIZES) await runSize(results, size, new Random(seed));
  clearInterval(alive);
}

async function runSize(
  results: Results,
  size: Size,
  random: Random,
): Promise<void> {
  const metrics = new Metrics();
  const workers = new ModelWorkers(
    systemClock,
    (order) => kindOf(order.spec).runMs * random.between(0.5, 1.5),
  );
  const cell = openCell(size, { metrics, workers, random });
  const opened = await cell.recover();
  opened._unsafeUnwrap();
  const load = submitUntil(cell, { size, random });
  await sleep(systemClock, WARM_MS);
  const before = { cpu: process.cpuUsage(), starts: workers.starts };
  await sleep(systemClock, RUN_MS);
  const cpu = process.cpuUsage(before.cpu);
  load.stop();
  cell.close();
  const seconds = RUN_MS / 1_000;
  const label = `w${size.workers}_q${size.queues}_l${size.load}`;
  results.line(
    `${label}_starts_per_s`,
    (workers.starts - before.starts) / seconds,
  );
  for (const { queue } of KINDS) {
    const p90 = metrics.percentile("first_start_ms", 90, { queue });
    results.line(`${label}_${queue}_first_start_p90_ms`, p90 ?? NaN);
  }
  results.line(`${label}_cores`, (cpu.user + cpu.system) / 1e6 / seconds);
}

function openCell(
  size: Size,
  { metrics, workers, random }: {
    readonly metrics: Metrics;
    readonly workers: ModelWorkers;
    readonly random: Random;
  },
): Cell {
  const store = slowStore(systemClock);
  const entries = workerEntries(size.workers);
  const lanes = Array.from({ length: LANES }, (_, index) => `i${index}`);
  const queues = queuesOf(size.queues);
  const set = { version: 1, queues, teams: [], maxBodyBytes: 10_000 };
  const ask = slowAdvice(systemClock, {
    random,
    goodShare: (step) => KINDS[Number(step[0])]?.goodShare ?? 1,
  });
  return new Cell({
    name: "cell/0",
    fence: 1,
    revision: 1,
    store,
    directory: {
      workers: () =>
        store.list("none/").map(() => ({ workers: entries, foreign: 0 })),
      configuration: () => store.get("none").map(() => undefined),
      nextConfiguration: () =>
        store.get("none").map(() => ({ set: undefined, revision: 0 })),
    },
    orders: workers,
    desk: new AdviceDesk(ask, () => lanes, { clock: systemClock, metrics }),
    recall: () => Promise.resolve([]),
    clock: systemClock,
    log: silentLog,
    metrics,
    set: () => set,
    maxLeaseMs: 6_000,
    retentionMs: 120_000,
    holds: () => true,
    deposed: () => {},
    confirmed: () => {},
  });
}

function submitUntil(
  cell: Cell,
  { size, random }: { readonly size: Size; readonly random: Random },
): { stop(): void } {
  let stopped = false;
  let number = 0;
  const meanMs = 1_000 / (RATE_AT_245 * size.load * size.workers / 245);
  const next = () => {
    if (stopped) return;
    const index = random.weighted(KINDS.map((kind) => kind.share));
    const kind = KINDS[index]!;
    // The first digit tells the advice service of the kind.
    const id = `${index}${(number++).toString(16).padStart(15, "0")}`;
    void cell.submit({ id, queue: kind.queue, team: "", spec: specOf(kind) });
    systemClock.after(random.exponential(meanMs), next);
  };
  next();
  return { stop: () => stopped = true };
}

function kindOf(payload: string): Kind {
  return KINDS.find((kind) => kind.queue === payload) ?? KINDS[0]!;
}

function specOf(kind: Kind): JobSpec {
  const step: StepSpec = {
    tasks: kind.tasks,
    amounts: {
      cpuMillis: kind.cpuMillis,
      memoryMib: 14_000,
      accelerators: 0,
    },
    estimateMs: kind.runMs,
    after: [],
    gang: kind.gang,
    requiredLabel: "",
    dataRack: "",
    sameRack: false,
    maxPerWorker: 0,
    longRunning: false,
    backfill: false,
  };
  return { payload: kind.queue, steps: [step] };
}

/** The queues of the kinds, the last ones among `count`. */
function queuesOf(count: number): readonly Queue[] {
  const used = KINDS.map((kind) => queue(kind.queue, kind));
  const idle = Array.from(
    { length: count - used.length },
    (_, index) => queue(`idle-${index}`, KINDS[0]!),
  );
  return [...idle, ...used];
}

function queue(name: string, kind: Kind): Queue {
  return {
    name,
    host: "shop.example",
    pathPrefix: `/${name}/`,
    service: "copier",
    priority: kind.priority,
    attempts: 4,
    stretch: 2,
    objectiveMs: 1_000,
    open: true,
    advice: {
      baseMs: kind.baseMs,
      perWorkerMs: kind.perWorkerMs,
      ticketMs: 1_500,
    },
  };
}
