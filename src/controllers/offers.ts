/**
 * Room on owned workers that is held for work which has not arrived yet.
 * An offer lapses by itself; one that was cancelled before it was made is
 * never made.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { Resources } from "../types.ts";

/** Cancellations are remembered for so long, milliseconds. */
const CANCELLED_MEMORY_MS = 30_000;

/** Room held on a worker, with one of the team's allowance. */
export interface HeldRoom {
  readonly offer: string;
  readonly worker: string;
  readonly team: string;
  readonly need: Resources;
  readonly fence: number;
  /** Groups the offers of one reservation. */
  readonly reservation: string;
}

interface HeldOffer extends HeldRoom {
  readonly timer: Timer;
}

/** What the book of offers needs. */
export interface OffersOptions {
  readonly pool: WorkerPool;
  readonly clock: Clock;
  /** Called when held room becomes free again. */
  readonly released: (room: HeldRoom) => void;
}

/** The offers of one owner. */
export class Offers {
  readonly #options: OffersOptions;
  readonly #held = new Map<string, HeldOffer>();
  readonly #cancelled = new Map<string, number>();

  constructor(options: OffersOptions) {
    this.#options = options;
  }

  /** Number of offers outstanding. */
  get size(): number {
    return this.#held.size;
  }

  /**
   * Holds room that the caller has taken from the pool. `false` if the
   * reservation was cancelled before or the offer is there already.
   */
  hold(room: HeldRoom, lapseMs: number): boolean {
    if (this.#cancelled.has(room.reservation)) return false;
    if (this.#held.has(room.offer)) return false;
    const timer = this.#options.clock.after(lapseMs, () => {
      this.release(room.offer);
    });
    this.#held.set(room.offer, { ...room, timer });
    return true;
  }

  /** Hands held room over to its use; `undefined` if it has lapsed. */
  claim(offer: string): HeldRoom | undefined {
    const held = this.#held.get(offer);
    if (held === undefined) return undefined;
    held.timer.cancel();
    this.#held.delete(offer);
    return held;
  }

  /** Frees held room. */
  release(offer: string): void {
    const held = this.claim(offer);
    if (held === undefined) return;
    this.#options.pool.release(held.worker, held.need);
    this.#options.released(held);
  }

  /** Frees all room of a reservation and refuses it should it still come. */
  cancel(reservation: string): void {
    const now = this.#options.clock.monotonic();
    this.#cancelled.set(reservation, now);
    this.#forget(now);
    const offers = [...this.#held.values()]
      .filter((held) => held.reservation === reservation);
    for (const { offer } of offers) this.release(offer);
  }

  #forget(nowMs: number): void {
    for (const [reservation, atMs] of this.#cancelled) {
      if (nowMs - atMs < CANCELLED_MEMORY_MS) return;
      this.#cancelled.delete(reservation);
    }
  }
}
