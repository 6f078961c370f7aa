/**
 * Simulated faults of the key-value service, set through its control endpoint.
 *
 * @module
 */
import * as t from "io-ts";
import type { Outage } from "../common/endpoint.ts";

/** Body of POST /control; absent fields keep their value. */
export const Control = t.partial({
  latencyMs: t.number,
  /** Delay in addition to `latencyMs`, milliseconds. */
  slowMs: t.number,
  outage: t.union([t.literal("refuse"), t.literal("hang"), t.literal(false)]),
  /**
   * Writes are applied, then the connection is closed without a response: for the
   * `next` writes, after those with the given probability.
   */
  loseAnswers: t.partial({ next: t.number, probability: t.number }),
  /** Leases do not expire. */
  pauseLeases: t.boolean,
  /** Discards the event history up to and including this revision. */
  compact: t.number,
  /** Watches receive no messages, though their connections stay open. */
  silentWatches: t.boolean,
});
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

/** Active faults. */
export class Faults {
  latencyMs: number;
  slowMs = 0;
  outage: Outage = false;
  pauseLeases = false;
  silentWatches = false;
  #loseCount = 0;
  #lossProbability = 0;

  constructor(latencyMs: number) {
    this.latencyMs = latencyMs;
  }

  /** Applies the fields that the control message contains. */
  set(control: Control): void {
    this.latencyMs = control.latencyMs ?? this.latencyMs;
    this.slowMs = control.slowMs ?? this.slowMs;
    this.outage = control.outage ?? this.outage;
    this.pauseLeases = control.pauseLeases ?? this.pauseLeases;
    this.silentWatches = control.silentWatches ?? this.silentWatches;
    if (control.loseAnswers === undefined) return;
    this.#loseCount = control.loseAnswers.next ?? 0;
    this.#lossProbability = control.loseAnswers.probability ?? 0;
  }

  /** Whether to drop the response to the current write; counts down `loseAnswers.next`. */
  shouldLoseResponse(): boolean {
    if (this.#loseCount === 0) return Math.random() < this.#lossProbability;
    this.#loseCount -= 1;
    return true;
  }
}
