/**
 * A simulated advice service, and a cell on simulated dependencies.
 *
 * @module
 */
import { okAsync } from "neverthrow";
import {
  AdviceDispatcher,
  type SendThrough,
} from "../../src/cell/advice_dispatcher.ts";
import { Cell } from "../../src/cell/cell.ts";
import type { CellOptions } from "../../src/cell/cell_options.ts";
import type { CellStore, WorkerClient } from "../../src/cell/ports.ts";
import type { ClusterSet, WorkerEntry } from "../../src/cell/types.ts";
import { ZoneEvacuations } from "../../src/cell/zone_evacuations.ts";
import { type Clock, sleep } from "../../src/clock.ts";
import type { Log } from "../../src/logger.ts";
import type { Metrics } from "../../src/metrics.ts";

/** Maximum lease of a worker, milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Time within which accepted work must be under way once no more arrives, milliseconds. */
const SETTLE_MS = 14_000;
/** How long results of ended jobs are retained, milliseconds. */
const RETENTION_MS = 120_000;

/**
 * Simulates the advice service. Requests of one channel are served one after
 * the other, each in its expected time; the answer approves a share of the
 * workers, always the same ones for a step.
 */
export function simulatedAdvice(
  clock: Clock,
  { roundTripMs, goodShare }: {
    /** Network round trip of an advice request, milliseconds. */
    readonly roundTripMs: number;
    readonly goodShare: (step: string) => number;
  },
): SendThrough {
  const freeAtMs = new Map<string, number>();
  return async (instance, { step, workers, expectedMs }) => {
    const now = clock.monotonic();
    const endMs = Math.max(now, freeAtMs.get(instance) ?? 0) + expectedMs;
    freeAtMs.set(instance, endMs);
    await sleep(clock, endMs + roundTripMs - now);
    const good = workers.filter((worker) =>
      isAllowed(step, worker, goodShare(step))
    );
    const ticket = String(clock.monotonic());
    const tickets = new Map(good.map((worker) => [worker, ticket]));
    return { type: "advised", tickets };
  };
}

/** Whether the simulated advice service allows a step to run on a worker. */
export function isAllowed(
  step: string,
  worker: string,
  goodShare: number,
): boolean {
  return pseudoRandom(`${step} ${worker}`) < goodShare;
}

/** Pseudo-random number in [0, 1) that depends on the text alone; source: the FNV-1a hash. */
function pseudoRandom(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  // FNV-1a alone hardly mixes the last characters into the high bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

/** Dependencies of a simulated cell. */
export interface CellHarness {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: CellStore;
  readonly workers: readonly WorkerEntry[];
  readonly workerClient: WorkerClient;
  readonly sendAdviceRequest: SendThrough;
  /** Instances that relay advice requests. */
  readonly channels: readonly string[];
  readonly set: ClusterSet;
  readonly fence: number;
  /** Estimates that the cell starts with. */
  readonly known?: Pick<CellOptions, "fleet" | "runTimes">;
}

/** Creates a cell on simulated dependencies. */
export function createCell(harness: CellHarness): Cell {
  const { clock, log, metrics, store, workerClient, set, fence } = harness;
  return new Cell({
    name: "cell/0",
    fence,
    revision: 1,
    store,
    directory: {
      workers: () => okAsync({ workers: harness.workers, foreign: 0 }),
      operatorState: () =>
        okAsync({ set: undefined, evacuations: [], revision: 0 }),
      nextOperatorUpdate: () =>
        okAsync({
          type: "changes",
          set: undefined,
          evacuations: [],
          revision: 0,
        }),
      evacuations: () => okAsync({ evacuations: [], revision: 0 }),
    },
    workerClient,
    adviceDispatcher: new AdviceDispatcher(
      harness.sendAdviceRequest,
      () => harness.channels,
      {
        clock,
        metrics,
      },
    ),
    recoverAdvice: () => Promise.resolve([]),
    clock,
    log,
    metrics,
    set: () => set,
    evacuations: new ZoneEvacuations({ clock, log, evacuateMs: undefined }),
    maxLeaseMs: MAX_LEASE_MS,
    retentionMs: RETENTION_MS,
    settleMs: SETTLE_MS,
    isLeading: () => true,
    stepDown: () => {},
    onLeadershipConfirmed: () => {},
    ...harness.known,
  });
}
