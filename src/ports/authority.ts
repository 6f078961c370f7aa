/**
 * What an instance may decide, as the dispatching controllers see it.
 *
 * @module
 */
import type { Instance } from "../types.ts";

/** Ownership of units: `worker:<id>`, `team:<name>`, `home:<n>`, `segment:<member>`. */
export interface Authority {
  /** Whether this instance's lease holds right now. */
  inContact(): boolean;
  /** Whether this instance may decide for a unit right now; asked right before each start. */
  mayDecide(unit: string): boolean;
  /** The units with the prefix that this instance owns. */
  owned(prefix: string): readonly string[];
  /** The owner of a unit; `undefined` while there is none. */
  ownerOf(unit: string): Instance | undefined;
  /** Grows with each change of the unit's owner. */
  fenceOf(unit: string): number | undefined;
  /** Fence of the owner before the present one; 0 if it is the first. */
  formerFenceOf(unit: string): number | undefined;
  /** Calls `listener` after each change. */
  onChange(listener: () => void): void;
}

/** Permission to have one more running, within the teams' upper limits. */
export interface Allowances {
  /** Takes from what is in hand, without waiting. */
  tryTake(team: string): boolean;
  /** How much may be taken without waiting; infinite for a team without a limit. */
  available(team: string): number;
  /** Asks the team's home instance for allowance for so much work, without waiting for it. */
  want(team: string, count: number): void;
  /** A team's upper limit; `undefined` if it has none. */
  limitOf(team: string): number | undefined;
  /** Gives one back after its work has ended. */
  give(team: string): void;
  /** Accounts for running work that was found on an adopted worker. */
  adopt(team: string, count: number): void;
}
