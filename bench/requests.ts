/**
 * Measures the latency of urgent requests on eight daemon processes, without
 * and with a backlog of deferred work that fills the fleet.
 *
 * @module
 */
import { Load } from "../testbed/load.ts";
import { smallSet } from "../testbed/small_set.ts";
import { Testbed } from "../testbed/testbed.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const INSTANCES = 8;
const WORKERS = 30;
const REQUESTS_PER_SECOND = 300;
const REQUEST_MS = 80;
const TASK_MS = 1_500;
const DURATION_MS = 15_000;
/** Requests of this first period are not counted: the backlog is still building up. */
const WARM_UP_MS = 5_000;

/** Submissions of deferred work per second, by the name of the backlog that they cause. */
const backlogs = { none: 0, month_end: 120 } as const;

/** Runs the benchmark. */
export async function benchRequests(
  results: Results,
  seed: number,
): Promise<void> {
  for (const [name, worksPerSecond] of Object.entries(backlogs)) {
    await measure(results, { name, worksPerSecond, seed });
  }
}

async function measure(
  results: Results,
  { name, worksPerSecond, seed }: {
    readonly name: string;
    readonly worksPerSecond: number;
    readonly seed: number;
  },
): Promise<void> {
  const set = smallSet();
  const draws = new Random(seed);
  const bed = await Testbed.start({
    instances: INSTANCES,
    workers: WORKERS,
    zones: ["zone-1", "zone-2", "zone-3"],
    workerArguments: ["--report-lag-ms", "200"],
    logLevel: "warn",
    set: set.text,
  });
  try {
    const load = new Load({
      instances: bed.instances,
      keys: set.keys,
      requestsPerSecond: REQUESTS_PER_SECOND,
      submissionsPerSecond: worksPerSecond,
      workMs: REQUEST_MS,
      taskMs: TASK_MS,
      durationMs: DURATION_MS,
      random: () => draws.uniform(),
    });
    await load.run();
    report(results, name, load);
  } finally {
    await bed.stop();
  }
}

function report(results: Results, name: string, load: Load): void {
  const startMs = Math.min(...load.requests.map(({ atMs }) => atMs));
  const counted = load.requests
    .filter(({ atMs }) => atMs - startMs >= WARM_UP_MS);
  const waits = counted
    .map(({ elapsedMs: tookMs }) => tookMs - REQUEST_MS)
    .sort((a, b) => a - b);
  const done = counted.filter(({ outcome }) => outcome === "done").length;
  results.line(`${name}_requests`, counted.length);
  results.line(`${name}_done`, done);
  results.line(`${name}_works`, load.acceptedSubmissions.length);
  for (const percentile of [50, 90, 99]) {
    const index = Math.floor(waits.length * percentile / 100);
    results.line(`${name}_beyond_work_p${percentile}_ms`, waits[index] ?? 0);
  }
}
