/**
 * Dependencies and settings of a cell.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { ReadCaches } from "./advice_recovery.ts";
import type { RunTimes } from "./decisions/run_times.ts";
import type { Fleet } from "./fleet.ts";
import type { CellStore, PlatformDirectory, WorkerClient } from "./ports.ts";
import type { ClusterSet } from "./types.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Dependencies and settings of the leader's cell for one term. */
export interface CellOptions {
  /** Name of the cell, the prefix of its leader record's key. */
  readonly name: string;
  /** Fencing token of the leader's term. */
  readonly fence: number;
  /** Store revision of the leader record that started this term. */
  readonly revision: number;
  readonly store: CellStore;
  readonly directory: PlatformDirectory;
  readonly workerClient: WorkerClient;
  readonly adviceDispatcher: AdviceDispatcher;
  /** Requests the advice that other instances have cached. */
  readonly recoverAdvice: ReadCaches;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The active operator set; `undefined` while this instance has none. */
  readonly set: () => ClusterSet | undefined;
  readonly evacuations: ZoneEvacuations;
  /** Longest lease that a worker accepts, milliseconds. */
  readonly maxLeaseMs: number;
  /** Shortest time for which clients can query an ended job, milliseconds. */
  readonly retentionMs: number;
  /** Time within which all accepted work must be under way once no more arrives, milliseconds. */
  readonly settleMs: number;
  /** Whether this instance may send requests to workers: its leadership was confirmed recently. */
  readonly isLeading: () => boolean;
  /** Ends this instance's term, because another instance leads the cell. */
  readonly stepDown: (reason: string) => void;
  /** Called when the store accepts a write of this term that was sent at `sentMs`, monotonic milliseconds. */
  readonly onLeadershipConfirmed: (sentMs: number) => void;
  /** Initial state of the workers; empty by default. */
  readonly fleet?: Fleet;
  /** Initial run time statistics; empty by default. */
  readonly runTimes?: RunTimes;
}
