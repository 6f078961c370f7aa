/**
 * Checks after a load run with the small operator set: submissions that have not
 * ended, and violations found in the workers' records.
 *
 * @module
 */
import { checkRecords, type Violations, type WorkerRecord } from "./checker.ts";
import { call } from "./http.ts";
import type { Load } from "./load.ts";
import { pause, type Testbed, type TestInstance } from "./testbed.ts";

const CAPACITY = {
  cpuMillis: 64_000,
  memoryMib: 262_144,
  accelerators: 0,
  slots: 8,
};
const REQUEST_NEED = {
  cpuMillis: 1_000,
  memoryMib: 1_024,
  accelerators: 0,
  slots: 1,
};
const POLL_INTERVAL_MS = 200;

/** Load run with the small operator set. */
export interface LoadRun {
  readonly bed: Testbed;
  readonly load: Load;
  /** API keys, as callers present them, by team. */
  readonly keys: Readonly<Record<string, string>>;
  /** Upper limits by team. */
  readonly limits: Readonly<Record<string, number>>;
}

/** Instances whose process is running. */
export function runningInstances(bed: Testbed): TestInstance[] {
  return bed.instances.filter(({ process }) =>
    process.child.exitCode === null && process.child.signalCode === null
  );
}

/** Waits until the acknowledged submissions have ended; returns the ids of those that have not within the timeout, milliseconds. */
export async function waitForSubmissions(
  { bed, load, keys }: LoadRun,
  timeoutMs: number,
): Promise<string[]> {
  const deadline = Date.now() + timeoutMs;
  let open = load.acceptedSubmissions.map(({ id }) => id);
  while (open.length > 0 && Date.now() < deadline) {
    const ended = await Promise.all(
      open.map((id) => hasEnded(bed, id, keys.billing ?? "")),
    );
    open = open.filter((_, index) => !ended[index]);
    if (open.length > 0) await pause(POLL_INTERVAL_MS);
  }
  return open;
}

/** Compares the responses that callers received with the workers' records. */
export async function findViolations(
  { bed, load, limits }: LoadRun,
  unfinished: readonly string[],
): Promise<Violations> {
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  return checkRecords({
    load,
    records: workers,
    capacity: CAPACITY,
    services: [
      { prefix: "/print", need: REQUEST_NEED, idempotent: false },
      { prefix: "/check", need: REQUEST_NEED, idempotent: true },
    ],
    onceTasks: ["price-import"],
    limits,
    requestTeam: "counter",
    unfinished,
  });
}

async function hasEnded(
  bed: Testbed,
  id: string,
  key: string,
): Promise<boolean> {
  const node = runningInstances(bed)[0];
  if (node === undefined) return false;
  try {
    const reply = await call(node.callers, {
      path: `/v1/work/${id}`,
      headers: { authorization: `Bearer ${key}` },
    });
    const { status } = JSON.parse(reply.body) as { status?: string };
    return status === "finished" || status === "parked";
  } catch {
    return false;
  }
}
