/**
 * Which teams use more than their part of a service that is short of capacity.
 *
 * Load pattern: two hot teams while all traffic is above what the workers can
 * do. A mark given on arrival tells that a team sent more than its weight, not
 * that it uses more than its part, and it stays when the burst is over.
 *
 * @module
 */
import type { Team } from "../types.ts";

/** Use counts with a weight that falls by e in this time, milliseconds: the run time of a large gang. */
export const DECAY_MS = 4_000;
/** A service with less than this part of its processors free is short of capacity while steps wait for them. */
export const SHORT_PART = 0.1;
/** A step counts as within its team's share once it has waited for this part of its objective. */
const PATIENCE_PART = 0.5;
/** Use is added up no more often than this, milliseconds. */
const LEAST_STEP_MS = 50;
/** A team is above its share from so many times its due on: equal teams differ by chance. */
const TOLERANCE = 1.1;
/** Less use than this is none, thousandths of a core. */
const NEGLIGIBLE_MILLIS = 1;

/** Processors of one service, thousandths. */
export interface ServiceLoad {
  readonly cpuMillis: number;
  readonly usedMillis: number;
}

/** What a team is due of a service and what it uses. */
export interface TeamShare {
  readonly team: string;
  /** Part of what the waiting teams use that is the team's by its weight, 0 to 1. */
  readonly due: number;
  /** Part that it uses, 0 to 1. */
  readonly used: number;
}

/** Processors that the teams have used of one service, decayed. */
export class FairShares {
  readonly #use = new Map<string, number>();
  #atMs: number | undefined;

  /** Takes note of what teams use, thousandths of a core. `nowMs`: monotonic milliseconds. */
  note(running: ReadonlyMap<string, number>, nowMs: number): void {
    const sinceMs = nowMs - (this.#atMs ?? nowMs);
    if (this.#atMs !== undefined && sinceMs < LEAST_STEP_MS) return;
    this.#atMs = nowMs;
    const kept = Math.exp(-sinceMs / DECAY_MS);
    for (const [team, use] of this.#use) {
      if (use * kept < NEGLIGIBLE_MILLIS) this.#use.delete(team);
      else this.#use.set(team, use * kept);
    }
    for (const [team, millis] of running) {
      const use = this.#use.get(team) ?? 0;
      this.#use.set(team, use + (1 - kept) * millis);
    }
  }

  /**
   * Shares of the teams that wait. What the others leave of theirs is lent: it
   * is shared among those that wait. Teams without a weight have no share.
   */
  sharesOf(waiting: Iterable<Team>): ReadonlyMap<string, TeamShare> {
    const teams = [...waiting].filter(({ weight }) => weight > 0);
    const weights = teams.reduce((sum, { weight }) => sum + weight, 0);
    const uses = teams.reduce((sum, { name }) => sum + this.#useOf(name), 0);
    return new Map(teams.map(({ name, weight }) => [name, {
      team: name,
      due: weight / weights,
      used: uses === 0 ? 0 : this.#useOf(name) / uses,
    }]));
  }

  #useOf(team: string): number {
    return this.#use.get(team) ?? 0;
  }
}

/** Whether a service is short of capacity. */
export function isShort({ cpuMillis, usedMillis }: ServiceLoad): boolean {
  return cpuMillis - usedMillis < SHORT_PART * cpuMillis;
}

/** Whether a team uses more than it is due. */
export function isAbove({ due, used }: TeamShare): boolean {
  return used > TOLERANCE * due;
}

/** Whether a step has waited so long that its team's share no longer holds it back. */
export function outwaits(waitedMs: number, objectiveMs: number): boolean {
  return waitedMs > PATIENCE_PART * objectiveMs;
}
