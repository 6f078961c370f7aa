/**
 * How a holder gives the cell to another instance.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { strongerThan, successorsOf } from "./candidates.ts";
import type { Hold, Member } from "./cell_record.ts";
import { yieldCall } from "./protocol.ts";
import type { Roster } from "./roster.ts";

/** A weak machine keeps a cell that it had to take for so long at least, milliseconds: the strong ones come up. */
const WEAK_HOLD_MS = 2_000;
/** Longest wait for a successor, milliseconds. */
const YIELD_TIMEOUT_MS = 1_500;
/** A leaving holder looks for a successor for so long, milliseconds: a third of the shortest grace. */
const YIELD_FOR_MS = 2_000;
/** Pause before the candidates are asked again, milliseconds. */
const AGAIN_MS = 300;

/** What giving the cell away needs. */
export interface SuccessionOptions {
  readonly self: Member;
  readonly peers: Peers;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly log: Log;
  /** The hold, if this process has it. */
  readonly hold: () => Hold | undefined;
  /** The other instances, the best successor first. */
  readonly ranked: () => readonly string[];
}

/** Looks for successors. */
export class Succession {
  readonly #options: SuccessionOptions;
  /** Strong machines are asked from then on, monotonic milliseconds. */
  #offerFromMs = 0;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** The hold is this process's from now on. */
  gained(): void {
    this.#offerFromMs = this.#options.clock.monotonic() + WEAK_HOLD_MS;
  }

  /** Hands the cell over before the process ends; `false` if none took it. */
  async leave(): Promise<boolean> {
    const { clock, roster } = this.#options;
    const endMs = clock.monotonic() + YIELD_FOR_MS;
    // A candidate may be busy with a doubt of its own.
    while (!await this.#offer(this.#living())) {
      const alone = roster.members.length === 0;
      if (alone || clock.monotonic() > endMs) return false;
      await sleep(clock, AGAIN_MS);
    }
    return true;
  }

  /** Offers the cell of a weak machine to strong ones, now and then; `undefined` if there is nothing to offer. */
  offerToStronger(): Promise<boolean> | undefined {
    const { clock, roster, self } = this.#options;
    if (clock.monotonic() < this.#offerFromMs) return undefined;
    const reachable = new Set(roster.reachable());
    const stronger = strongerThan(self, roster.members)
      .filter((name) => reachable.has(name));
    if (stronger.length === 0) return undefined;
    this.#offerFromMs = clock.monotonic() + WEAK_HOLD_MS;
    return this.#offer(stronger);
  }

  /** Candidates that replied lately: a dead one would cost the longest wait. */
  #living(): readonly string[] {
    const { ranked, roster } = this.#options;
    const reachable = new Set(roster.reachable());
    const living = ranked().filter((name) => reachable.has(name));
    return successorsOf(living, roster.members);
  }

  /** Asks instances to take the cell, one after the other; `false` if none took it. */
  async #offer(names: readonly string[]): Promise<boolean> {
    const { peers, log } = this.#options;
    const hold = this.#options.hold();
    if (hold === undefined) return true;
    for (const name of names) {
      const answer = await peers.call(name, yieldCall, {
        params: { fence: hold.fence },
        timeoutMs: YIELD_TIMEOUT_MS,
      });
      const taken = answer.unwrapOr(false);
      log.info("hold.yielded", { fence: hold.fence, to: name, taken });
      if (taken) return true;
    }
    return false;
  }
}
