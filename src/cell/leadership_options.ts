/**
 * Dependencies of an instance's leader election, and the listener that it
 * notifies.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { LeaderTerm, Member } from "./leader_record.ts";
import type { CellStore } from "./ports.ts";
import type { ActiveSet } from "./active_set.ts";
import type { QueueCounts } from "./waiting_counts.ts";

/** Starts and stops the cell's scheduler with the terms of this process. */
export interface LeadershipListener {
  /** This process has become leader. */
  termStarted(term: LeaderTerm): void;
  /** Another process leads; this process's term with `fence` has ended. */
  termEnded(fence: number, reason: string): void;
  /** Number of accepted jobs that have not started, by queue; `undefined` while this process has not read the jobs back. */
  waitingJobs(): QueueCounts | undefined;
}

/** Dependencies of {@linkcode Leadership}. */
export interface LeadershipOptions {
  readonly cell: string;
  readonly self: Member;
  /** Identifier of this process start, different after each restart. */
  readonly boot: string;
  readonly store: CellStore;
  /** Whether this process reaches the store without a relay. */
  readonly reachesStore: () => boolean;
  readonly peers: Peers;
  /** Opens connections to these instances and closes all others. */
  readonly link: (members: readonly Member[]) => void;
  readonly set: ActiveSet;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly listener: LeadershipListener;
}
