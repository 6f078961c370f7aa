/**
 * What one holder of the cell works with.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { AdviceDesk } from "./advice_desk.ts";
import type { Recall } from "./advice_recall.ts";
import type { RunTimes } from "./decisions/run_times.ts";
import type { Fleet } from "./fleet.ts";
import type { CellStore, PlatformDirectory, WorkerOrders } from "./ports.ts";
import type { ClusterSet } from "./types.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** What a holder needs. */
export interface CellOptions {
  readonly name: string;
  readonly fence: number;
  /** Revision of the store at which the hold was taken. */
  readonly revision: number;
  readonly store: CellStore;
  readonly directory: PlatformDirectory;
  readonly orders: WorkerOrders;
  readonly desk: AdviceDesk;
  /** What other instances remember of advice. */
  readonly recall: Recall;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly set: () => ClusterSet;
  readonly evacuations: ZoneEvacuations;
  readonly maxLeaseMs: number;
  readonly retentionMs: number;
  readonly holds: () => boolean;
  readonly deposed: (why: string) => void;
  readonly confirmed: (sentMs: number) => void;
  /** Workers and what is known of them; none unless given. */
  readonly fleet?: Fleet;
  /** What is known of run times; nothing unless given. */
  readonly runTimes?: RunTimes;
}
