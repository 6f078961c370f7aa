/**
 * What is looked at after a run with the small set: the works that have not
 * ended, and the violations that the workers' records show.
 *
 * @module
 */
import { checkRecords, type Violations, type WorkerRecord } from "./checker.ts";
import { call } from "./http.ts";
import type { Load } from "./load.ts";
import { type Node, pause, type Testbed } from "./testbed.ts";

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
const POLL_MS = 200;

/** A run with the small set. */
export interface Run {
  readonly bed: Testbed;
  readonly load: Load;
  /** Presented keys by team. */
  readonly keys: Readonly<Record<string, string>>;
  /** Upper limits by team. */
  readonly limits: Readonly<Record<string, number>>;
}

/** Daemons that run now. */
export function living(bed: Testbed): Node[] {
  return bed.nodes.filter(({ process }) =>
    process.child.exitCode === null && process.child.signalCode === null
  );
}

/** Waits for the acknowledged works to end; gives those that did not. */
export async function unfinishedWorks(
  { bed, load, keys }: Run,
  patienceMs: number,
): Promise<string[]> {
  const until = Date.now() + patienceMs;
  let open = load.works.map(({ id }) => id);
  while (open.length > 0 && Date.now() < until) {
    const ended = await Promise.all(
      open.map((id) => hasEnded(bed, id, keys.billing ?? "")),
    );
    open = open.filter((_, index) => !ended[index]);
    if (open.length > 0) await pause(POLL_MS);
  }
  return open;
}

/** Compares what the callers were told with what the workers recorded. */
export async function violationsOf(
  { bed, load, limits }: Run,
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
  const node = living(bed)[0];
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
