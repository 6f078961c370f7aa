/**
 * Measures memory, processor time and traffic of idle daemon processes, by the
 * number of instances and of workers.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { smallSet } from "../testbed/small_set.ts";
import { pause, Testbed } from "../testbed/testbed.ts";
import type { Results } from "./results.ts";

const SETTLE_MS = 5_000;
const MEASUREMENT_MS = 10_000;
/** Kernel clock ticks per second of processor time. */
const TICKS_PER_SECOND = 100;
const NODE_CORE_PERCENT_TARGET = 2.8;
const NODE_MEMORY_MIB_TARGET = 256;
const NODE_BYTES_TARGET = 5_000;
const LIMITS = { counter: 60, billing: 80 };

interface ClusterSize {
  readonly instances: number;
  readonly workers: number;
}

const shapes: readonly ClusterSize[] = [
  { instances: 2, workers: 30 },
  { instances: 4, workers: 30 },
  { instances: 8, workers: 30 },
  { instances: 2, workers: 120 },
  { instances: 2, workers: 240 },
  { instances: 8, workers: 120 },
  { instances: 8, workers: 240 },
];

/** Runs the benchmark. */
export async function benchIdle(results: Results): Promise<void> {
  for (const shape of shapes) await measure(results, shape);
}

async function measure(results: Results, shape: ClusterSize): Promise<void> {
  const bed = await Testbed.start({
    ...shape,
    zones: ["zone-1", "zone-2", "zone-3"],
    set: smallSet({ limits: LIMITS }).text,
  });
  try {
    await pause(SETTLE_MS);
    const pids = bed.instances.map(({ process }) => process.child.pid!);
    const before = pids.map((pid) => ({
      ...readTraffic(pid),
      ticks: readTicks(pid),
    }));
    await pause(MEASUREMENT_MS);
    const ticks = pids.map((pid, at) => readTicks(pid) - before[at]!.ticks);
    const sent = pids.map((pid, at) =>
      readTraffic(pid).sent - before[at]!.sent
    );
    const received = pids.map((pid, at) =>
      readTraffic(pid).received - before[at]!.received
    );
    const seconds = MEASUREMENT_MS / 1_000;
    const percent = mean(ticks) / TICKS_PER_SECOND / seconds * 100;
    const name = `instances${shape.instances}_workers${shape.workers}`;
    results.atMost(
      `${name}_core_percent`,
      percent,
      NODE_CORE_PERCENT_TARGET,
    );
    results.atMost(
      `${name}_memory_mib`,
      mean(pids.map(readMemoryMib)),
      NODE_MEMORY_MIB_TARGET,
    );
    results.atMost(
      `${name}_sent_bytes_a_second`,
      mean(sent) / seconds,
      NODE_BYTES_TARGET,
    );
    results.line(`${name}_received_bytes_a_second`, mean(received) / seconds);
  } finally {
    await bed.stop();
  }
}

/** User and system time of a process, in clock ticks. */
function readTicks(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return Number(fields[11]) + Number(fields[12]);
}

/** Bytes that a process has written and read; nearly all of it is socket traffic. */
function readTraffic(
  pid: number,
): { readonly sent: number; readonly received: number } {
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  const field = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)`, "m").exec(io)?.[1] ?? 0);
  return { sent: field("wchar"), received: field("rchar") };
}

/** Resident memory of a process, MiB. */
function readMemoryMib(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1_024;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
