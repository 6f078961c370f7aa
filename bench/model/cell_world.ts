/**
 * An advice service in memory, and a cell over models of all that surrounds it.
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

/** Longest lease of a worker, milliseconds. */
const MAX_LEASE_MS = 6_000;
/** How long ends of jobs are told, milliseconds. */
const RETENTION_MS = 120_000;

/**
 * Advice that takes its expected time, one question after the other in each
 * lane, and finds a share of the workers good, always the same for a step.
 */
export function slowAdvice(
  clock: Clock,
  { wayMs, goodShare }: {
    /** Time of a question's way and back, milliseconds. */
    readonly wayMs: number;
    readonly goodShare: (step: string) => number;
  },
): SendThrough {
  const freeAtMs = new Map<string, number>();
  return async (instance, { step, workers, expectedMs }) => {
    const now = clock.monotonic();
    const endMs = Math.max(now, freeAtMs.get(instance) ?? 0) + expectedMs;
    freeAtMs.set(instance, endMs);
    await sleep(clock, endMs + wayMs - now);
    const good = workers.filter((worker) =>
      shareOf(`${step} ${worker}`) < goodShare(step)
    );
    const ticket = String(clock.monotonic());
    const tickets = new Map(good.map((worker) => [worker, ticket]));
    return { type: "advised", tickets };
  };
}

/** A number in [0, 1) that looks random and depends on the text alone; source: the FNV-1a hash. */
function shareOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  // The last characters would hardly reach the high bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

/** What a cell of a model is made of. */
export interface CellWorld {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: CellStore;
  readonly workers: readonly WorkerEntry[];
  readonly orders: WorkerClient;
  readonly ask: SendThrough;
  /** Instances that carry questions for advice. */
  readonly lanes: readonly string[];
  readonly set: ClusterSet;
  readonly fence: number;
  /** What is known from the start. */
  readonly known?: Pick<CellOptions, "fleet" | "runTimes">;
}

/** A cell in a world of models. */
export function cellOver(world: CellWorld): Cell {
  const { clock, log, metrics, store, orders, set, fence } = world;
  return new Cell({
    name: "cell/0",
    fence,
    revision: 1,
    store,
    directory: {
      workers: () => okAsync({ workers: world.workers, foreign: 0 }),
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
    workerClient: orders,
    adviceDispatcher: new AdviceDispatcher(world.ask, () => world.lanes, {
      clock,
      metrics,
    }),
    recoverAdvice: () => Promise.resolve([]),
    clock,
    log,
    metrics,
    set: () => set,
    evacuations: new ZoneEvacuations({ clock, log, evacuateMs: undefined }),
    maxLeaseMs: MAX_LEASE_MS,
    retentionMs: RETENTION_MS,
    isLeading: () => true,
    stepDown: () => {},
    onLeadershipConfirmed: () => {},
    ...world.known,
  });
}
