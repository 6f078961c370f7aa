/**
 * Runs load against a small deployment during a fault and checks the results
 * against the stand-ins' records.
 *
 * @module
 */
import type { ExecutionContext } from "ava";
import {
  findViolations,
  runningInstances,
  waitForSubmissions,
} from "./load_checks.ts";
import type { Violations } from "./checker.ts";
import { Load } from "./load.ts";
import { smallSet } from "./small_set.ts";
import { pause, Testbed } from "./testbed.ts";

const INSTANCES = 3;
const WORKERS = 4;
const LIMITS = { counter: 20, billing: 12 };
const TIMEOUT_MS = 45_000;
const POLL_INTERVAL_MS = 100;

const NO_VIOLATIONS: Violations = {
  overfilledWorkers: 0,
  doubledTasks: 0,
  doubledRequests: 0,
  limitsPassed: 0,
  lostWorks: 0,
  falseNotRun: 0,
  crossedAnswers: 0,
  lostAnswers: 0,
};

/** Testbed with the text of its operator set and the API keys of its teams. */
export interface Deployment {
  readonly testbed: Testbed;
  readonly text: string;
  readonly keys: Readonly<Record<string, string>>;
}

/** Starts a deployment that is stopped at the end of the test. */
export async function startDeployment(
  t: ExecutionContext,
): Promise<Deployment> {
  const { text, keys } = smallSet({ limits: LIMITS });
  const bed = await Testbed.start({
    instances: INSTANCES,
    workers: WORKERS,
    zones: ["zone-1"],
    set: text,
  });
  t.teardown(() => bed.stop());
  return { testbed: bed, text, keys };
}

/** Runs load, injects a fault meanwhile, waits for all submissions to end and expects no violations. */
export async function runUnderLoad(
  t: ExecutionContext,
  { testbed: bed, keys }: Deployment,
  options: {
    readonly durationMs: number;
    readonly injectFault: () => Promise<void>;
  },
): Promise<Load> {
  const load = new Load({
    instances: bed.instances,
    keys,
    requestsPerSecond: 40,
    submissionsPerSecond: 3,
    workMs: 50,
    taskMs: 300,
    durationMs: options.durationMs,
    random: Math.random,
  });
  const running = load.run();
  await options.injectFault();
  await running;
  const run = { bed, load, keys, limits: LIMITS };
  const unfinished = await waitForSubmissions(run, TIMEOUT_MS);
  for (const id of unfinished) {
    t.log(JSON.stringify(await explainEverywhere(bed, id)));
  }
  const violations = await findViolations(run, unfinished);
  t.deepEqual(violations, NO_VIOLATIONS);
  t.true(load.requests.some(({ outcome }) => outcome === "done"));
  return load;
}

/** Polls a condition until it holds; `false` if it does not within the timeout. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const deadline = Date.now() + TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (await condition()) return true;
    await pause(POLL_INTERVAL_MS);
  }
  return false;
}

/** Explanations of a submission by each running instance. */
function explainEverywhere(bed: Testbed, id: string): Promise<unknown[]> {
  const path = `/v1/explain?work=${encodeURIComponent(id)}`;
  return Promise.all(
    runningInstances(bed).map((node) => bed.getAsOperator(node, path)),
  );
}
