import test from "ava";
import { counters } from "./model/deployment_profiles.ts";
import type { LoadPattern } from "./model/load_patterns.ts";
import { replay, type ReplayHarness } from "./replay.ts";

/** Time after the last submission from which no step may wait; source: the platform's bound for finishing. */
const FINISH_MS = 14_000;
/** Longest time for which a job may have nothing running beside room; source: the platform's rules. */
const MAX_IDLE_MS = 3_000;
const SEEDS = [1, 4];

/** The usual traffic with a burst of jobs that need slow advice. */
const BILLING_BURST: LoadPattern = {
  name: "billing_burst",
  durationMs: 40_000,
  tailMs: FINISH_MS,
  maxTries: 5,
  factor: ({ queue }, atMs) =>
    queue === "billing" && atMs >= 34_000 && atMs < 38_000 ? 1.8 : 1,
};

/** Jobs of which nothing runs for the longest time that a job may be idle, from now on. */
async function lastingIdleJobs(
  harness: ReplayHarness,
): Promise<readonly string[]> {
  let idle = harness.idleJobs();
  for (let elapsedMs = 0; elapsedMs < MAX_IDLE_MS; elapsedMs += 100) {
    await harness.clock.run(100, 2);
    const now = new Set(harness.idleJobs());
    idle = idle.filter((id) => now.has(id));
  }
  return idle;
}

for (const instances of [1, 2, 3, 5, 7]) {
  for (const seed of SEEDS) {
    test(`no job waits for advice beside free workers, instances left: ${instances}, seed ${seed}`, async (t) => {
      const profile = counters(instances);
      const { harness } = await replay({ profile, load: BILLING_BURST }, seed);
      const idle = await lastingIdleJobs(harness);
      const capacity = profile.workers * profile.capacity.cpuMillis;
      t.true(harness.workers.usedMillis < capacity / 2);
      t.deepEqual(idle, []);
    });
  }
}
