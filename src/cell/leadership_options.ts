/**
 * What the leadership of an instance works with, and whom it tells.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { Hold, Member } from "./cell_record.ts";
import type { CellStore } from "./ports.ts";
import type { SetInForce } from "./set_in_force.ts";

/** What becomes of the cell in this process. */
export interface HoldListener {
  /** The hold is this process's. */
  gained(hold: Hold): void;
  /** The hold is another's now. */
  lost(fence: number, why: string): void;
  /** Accepted jobs that have not begun, told to all members. */
  waiting(): readonly (readonly [string, number])[];
}

/** What the leadership needs. */
export interface LeadershipOptions {
  readonly cell: string;
  readonly self: Member;
  /** Unique to this start of the process. */
  readonly boot: string;
  readonly store: CellStore;
  /** Whether the store answers this process itself. */
  readonly reachesStore: () => boolean;
  readonly peers: Peers;
  /** Opens links to these instances and drops others. */
  readonly link: (members: readonly Member[]) => void;
  readonly set: SetInForce;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly listener: HoldListener;
}
