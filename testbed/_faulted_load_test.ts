/**
 * A small deployment under load while a fault strikes, checked against the
 * stand-ins' own records.
 *
 * @module
 */
import type { ExecutionContext } from "ava";
import { checkRecords, type Violations, type WorkerRecord } from "./checker.ts";
import { call } from "./http.ts";
import { Load } from "./load.ts";
import { smallSet } from "./small_set.ts";
import { type Node, pause, Testbed } from "./testbed.ts";

const INSTANCES = 3;
const WORKERS = 4;
const CAPACITY = {
  cpuMillis: 64_000,
  memoryMib: 262_144,
  accelerators: 0,
  slots: 8,
};
const NEED = { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0, slots: 1 };
const LIMITS = { counter: 20, billing: 12 };
const PATIENCE_MS = 45_000;
const POLL_MS = 100;

const none: Violations = {
  overfilledWorkers: 0,
  doubledTasks: 0,
  doubledRequests: 0,
  limitsPassed: 0,
  lostWorks: 0,
  falseNotRun: 0,
  crossedAnswers: 0,
  lostAnswers: 0,
};

/** A deployment with the keys of its teams. */
export interface Bed {
  readonly bed: Testbed;
  readonly text: string;
  readonly keys: Readonly<Record<string, string>>;
}

/** Starts a deployment that ends with the test. */
export async function openBed(t: ExecutionContext): Promise<Bed> {
  const { text, keys } = smallSet({ limits: LIMITS });
  const bed = await Testbed.start({
    instances: INSTANCES,
    workers: WORKERS,
    zones: ["zone-1"],
    set: text,
  });
  t.teardown(() => bed.stop());
  return { bed, text, keys };
}

/** Runs load, lets the fault strike meanwhile, and checks what must always hold. */
export async function underLoad(
  t: ExecutionContext,
  { bed, keys }: Bed,
  options: {
    readonly durationMs: number;
    readonly strike: () => Promise<void>;
  },
): Promise<Load> {
  const load = new Load({
    nodes: bed.nodes,
    keys,
    requestsPerSecond: 40,
    worksPerSecond: 3,
    workMs: 50,
    taskMs: 300,
    durationMs: options.durationMs,
    random: Math.random,
  });
  const running = load.run();
  await options.strike();
  await running;
  const unfinished = await unfinishedOf(bed, load, keys);
  for (const id of unfinished) {
    t.log(JSON.stringify(await explanations(bed, id)));
  }
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  const violations = checkRecords({
    load,
    records: workers,
    capacity: CAPACITY,
    services: [
      { prefix: "/print", need: NEED, idempotent: false },
      { prefix: "/check", need: NEED, idempotent: true },
    ],
    onceTasks: ["price-import"],
    limits: LIMITS,
    requestTeam: "counter",
    unfinished,
  });
  t.deepEqual(violations, none);
  t.true(load.requests.some(({ outcome }) => outcome === "done"));
  return load;
}

/** Waits until a condition holds; gives whether it came to hold. */
export async function holds(
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const until = Date.now() + PATIENCE_MS;
  while (Date.now() < until) {
    if (await condition()) return true;
    await pause(POLL_MS);
  }
  return false;
}

/** Daemons that run now. */
export function living(bed: Testbed): Node[] {
  return bed.nodes.filter(({ process }) =>
    process.child.exitCode === null && process.child.signalCode === null
  );
}

/** What each living daemon says of a work. */
function explanations(bed: Testbed, id: string): Promise<unknown[]> {
  const path = `/v1/explain?work=${encodeURIComponent(id)}`;
  return Promise.all(living(bed).map((node) => bed.operate(node, path)));
}

/** Waits for the acknowledged works; gives those that did not end. */
async function unfinishedOf(
  bed: Testbed,
  load: Load,
  keys: Bed["keys"],
): Promise<string[]> {
  let open = load.works.map(({ id }) => id);
  await holds(async () => {
    const still: string[] = [];
    for (const id of open) {
      if (!await finished(bed, id, keys)) still.push(id);
    }
    open = still;
    return open.length === 0;
  });
  return open;
}

async function finished(
  bed: Testbed,
  id: string,
  keys: Bed["keys"],
): Promise<boolean> {
  try {
    const reply = await call(living(bed)[0]!.callers, {
      path: `/v1/work/${id}`,
      headers: { authorization: `Bearer ${keys["billing"]}` },
    });
    const { status } = JSON.parse(reply.body) as { status?: string };
    return status === "finished" || status === "parked";
  } catch {
    return false;
  }
}
