/**
 * Interfaces through which the controllers that dispatch work check what this
 * instance owns and how much a team may have running.
 *
 * @module
 */
import type { Instance } from "../types.ts";

/**
 * Ownership of units: `worker:<id>`, `team:<name>`, `home:<n>`,
 * `segment:<member>`.
 */
export interface Authority {
  /** Whether the lease of this instance is valid now. */
  hasValidLease(): boolean;
  /**
   * Whether this instance owns a unit and may make decisions for it now. Must be
   * checked immediately before each start of work.
   */
  mayDecide(unit: string): boolean;
  /** Units of this instance whose name starts with `prefix`. */
  owned(prefix: string): readonly string[];
  /** Owner of a unit; `undefined` if it has none. */
  ownerOf(unit: string): Instance | undefined;
  /** Fencing token of a unit, which increases with each change of owner; `undefined` for an unknown unit. */
  fenceOf(unit: string): number | undefined;
  /** Fencing token of the previous owner; 0 if there was none; `undefined` for an unknown unit. */
  previousFenceOf(unit: string): number | undefined;
  /** Calls `listener` after each change of ownership. */
  onChange(listener: () => void): void;
}

/**
 * Permits for running work within the limits of the teams. One permit covers one
 * running task or request. A team without a limit always gets permits.
 */
export interface RunPermits {
  /** Takes a permit that is available on this instance; `false` if there is none. */
  tryAcquire(team: string): boolean;
  /** Number of permits available on this instance; Infinity for a team without a limit. */
  available(team: string): number;
  /** Requests `count` more permits from the home instance of the team, without waiting for them. */
  request(team: string, count: number): void;
  /** Limit of a team; `undefined` if it has none. */
  limitOf(team: string): number | undefined;
  /** Returns a permit after its work has ended. */
  release(team: string): void;
  /** Counts work that already runs on a worker that this instance has taken over. */
  adopt(team: string, count: number): void;
}
