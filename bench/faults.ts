/**
 * Runs daemon processes under load while instances are killed and paused, a
 * worker stops responding and the key-value store has an outage. Checks the
 * records of the stand-ins at the end.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { findViolations, waitForSubmissions } from "../testbed/load_checks.ts";
import { Load } from "../testbed/load.ts";
import { smallSet } from "../testbed/small_set.ts";
import { pause, Testbed } from "../testbed/testbed.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const INSTANCES = 8;
const WORKERS = 30;
const LIMITS = { counter: 60, billing: 80 };
const DURATION_MS = 60_000;
const SETTLE_MS = 60_000;

/** A fault and the time at which it is injected. */
interface InjectedFault {
  readonly name: string;
  readonly atMs: number;
  readonly inject: (bed: Testbed) => Promise<void>;
}

/** The faults of a run, in order. */
const faults: readonly InjectedFault[] = [
  {
    name: "kill",
    atMs: 5_000,
    inject: (bed) => bed.kill(bed.instances[0]!),
  },
  { name: "pause", atMs: 10_000, inject: (bed) => pauseNode(bed, 1) },
  {
    name: "silent_worker",
    atMs: 15_000,
    inject: async (bed) => {
      const path = "/control/worker-3";
      await bed.control(bed.workersControl, path, { silent: true });
    },
  },
  {
    name: "restart",
    atMs: 18_000,
    inject: (bed) => {
      bed.restart(bed.instances[0]!);
      return Promise.resolve();
    },
  },
  {
    name: "store_outage",
    atMs: 22_000,
    inject: async (bed) => {
      await bed.control(bed.storeControl, "/control", { outage: "refuse" });
    },
  },
  {
    name: "kill_in_outage",
    atMs: 26_000,
    inject: (bed) => bed.kill(bed.instances[2]!),
  },
  {
    name: "store_back",
    atMs: 34_000,
    inject: async (bed) => {
      await bed.control(bed.storeControl, "/control", { outage: false });
    },
  },
  {
    name: "lost_answers",
    atMs: 38_000,
    inject: async (bed) => {
      await bed.control(bed.storeControl, "/control", {
        loseAnswers: { next: 10 },
      });
    },
  },
];

/** Runs the benchmark. */
export async function benchFaults(
  results: Results,
  seed: number,
): Promise<void> {
  const set = smallSet({ limits: LIMITS });
  const bed = await Testbed.start({
    instances: INSTANCES,
    workers: WORKERS,
    zones: ["zone-1", "zone-2", "zone-3"],
    workerArguments: ["--report-lag-ms", "200"],
    listLagMs: 1_000,
    set: set.text,
  });
  try {
    await run(results, { bed, keys: set.keys, random: randomSource(seed) });
  } finally {
    saveLogs(bed);
    await bed.stop();
  }
}

/** Saves the logs of the daemons in the folder `FAULTS_LOGS`, if it is set. */
function saveLogs(bed: Testbed): void {
  const folder = process.env.FAULTS_LOGS;
  if (folder === undefined) return;
  for (const node of bed.instances) {
    const text = node.process.log.join("\n");
    writeFileSync(join(folder, `${node.name}.log`), text);
  }
}

async function run(
  results: Results,
  { bed, keys, random }: {
    readonly bed: Testbed;
    readonly keys: Readonly<Record<string, string>>;
    readonly random: () => number;
  },
): Promise<void> {
  const load = new Load({
    instances: bed.instances,
    keys,
    requestsPerSecond: 300,
    submissionsPerSecond: 6,
    workMs: 80,
    taskMs: 1_500,
    durationMs: DURATION_MS,
    random,
  });
  const timers = faults.map(({ name, atMs, inject }) =>
    setTimeout(() => {
      results.line(`fault_${name}_at_ms`, atMs);
      void inject(bed);
    }, atMs)
  );
  await load.run();
  for (const timer of timers) clearTimeout(timer);
  const ran = { bed, load, keys, limits: LIMITS };
  const unfinished = await waitForSubmissions(ran, SETTLE_MS);
  const violations = await findViolations(ran, unfinished);
  printOutcomes(results, load, unfinished);
  printTimeline(results, load);
  for (const [name, count] of Object.entries(violations)) {
    results.atMost(name, count, 0);
  }
}

function printOutcomes(
  results: Results,
  load: Load,
  unfinished: readonly string[],
): void {
  const outcomes = new Map<string, number>();
  for (const { outcome, reason } of load.requests) {
    const name = reason === undefined ? outcome : `${outcome}_${reason}`;
    outcomes.set(name, (outcomes.get(name) ?? 0) + 1);
  }
  results.line("requests", load.requests.length);
  for (const [name, count] of outcomes) results.line(`outcome_${name}`, count);
  results.line("works", load.acceptedSubmissions.length);
  for (const [name, count] of load.refusedSubmissions) {
    results.line(`work_refused_${name}`, count);
  }
  for (const id of unfinished.slice(0, 5)) results.line("unfinished", id);
}

/** Prints the outcomes and the latency of requests by slice of the run. */
function printTimeline(results: Results, load: Load): void {
  const startMs = Math.min(...load.requests.map(({ atMs }) => atMs));
  for (let fromMs = 0; fromMs < DURATION_MS; fromMs += SLICE_MS) {
    const slice = load.requests.filter(({ atMs }) =>
      atMs - startMs >= fromMs && atMs - startMs < fromMs + SLICE_MS
    );
    const times = slice.map(({ elapsedMs: tookMs }) => tookMs).sort((a, b) =>
      a - b
    );
    const done = slice.filter(({ outcome }) => outcome === "done").length;
    const p99 = times[Math.floor(times.length * 0.99)] ?? 0;
    const unknown = slice.filter(({ outcome }) => outcome === "unknown").length;
    results.line(
      `slice_${fromMs / 1_000}_s`,
      `done:${done},unknown:${unknown},other:${
        slice.length - done - unknown
      },p99_ms:${p99}`,
    );
  }
}

const SLICE_MS = 3_000;

function randomSource(seed: number): () => number {
  const draws = new Random(seed);
  return () => draws.uniform();
}

const PAUSE_MS = 9_000;

async function pauseNode(bed: Testbed, index: number): Promise<void> {
  const { child } = bed.instances[index]!.process;
  child.kill("SIGSTOP");
  await pause(PAUSE_MS);
  child.kill("SIGCONT");
}
