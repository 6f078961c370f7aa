/**
 * A small deployment under load while a fault strikes, checked against the
 * stand-ins' own records.
 *
 * @module
 */
import type { ExecutionContext } from "ava";
import { living, unfinishedWorks, violationsOf } from "./aftermath.ts";
import type { Violations } from "./checker.ts";
import { Load } from "./load.ts";
import { smallSet } from "./small_set.ts";
import { pause, Testbed } from "./testbed.ts";

const INSTANCES = 3;
const WORKERS = 4;
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
  const run = { bed, load, keys, limits: LIMITS };
  const unfinished = await unfinishedWorks(run, PATIENCE_MS);
  for (const id of unfinished) {
    t.log(JSON.stringify(await explanations(bed, id)));
  }
  const violations = await violationsOf(run, unfinished);
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

/** What each living daemon says of a work. */
function explanations(bed: Testbed, id: string): Promise<unknown[]> {
  const path = `/v1/explain?work=${encodeURIComponent(id)}`;
  return Promise.all(living(bed).map((node) => bed.operate(node, path)));
}
