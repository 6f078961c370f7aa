/**
 * Faults of the key-value service, set through its control endpoint.
 *
 * @module
 */
import * as t from "io-ts";
import type { Outage } from "../common/endpoint.ts";

/** Body of POST /control; what is left out stays as it is. */
export const Control = t.partial({
  latencyMs: t.number,
  /** Added to the latency. */
  slowMs: t.number,
  outage: t.union([t.literal("refuse"), t.literal("hang"), t.literal(false)]),
  /** Writes take effect, then the connection is cut without an answer. */
  loseAnswers: t.partial({ next: t.number, probability: t.number }),
  /** Leases do not lapse. */
  pauseLeases: t.boolean,
  /** Forgets the history of changes up to this revision. */
  compact: t.number,
  /** Watches get nothing more, though their connections stay open. */
  silentWatches: t.boolean,
});
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

/** Faults in force. */
export class Faults {
  latencyMs: number;
  slowMs = 0;
  outage: Outage = false;
  pauseLeases = false;
  silentWatches = false;
  #loseNext = 0;
  #loseProbability = 0;

  constructor(latencyMs: number) {
    this.latencyMs = latencyMs;
  }

  /** Takes over what the control message says. */
  set(control: Control): void {
    this.latencyMs = control.latencyMs ?? this.latencyMs;
    this.slowMs = control.slowMs ?? this.slowMs;
    this.outage = control.outage ?? this.outage;
    this.pauseLeases = control.pauseLeases ?? this.pauseLeases;
    this.silentWatches = control.silentWatches ?? this.silentWatches;
    if (control.loseAnswers === undefined) return;
    this.#loseNext = control.loseAnswers.next ?? 0;
    this.#loseProbability = control.loseAnswers.probability ?? 0;
  }

  /** Whether the answer to this write is to be lost. */
  loseAnswer(): boolean {
    if (this.#loseNext === 0) return Math.random() < this.#loseProbability;
    this.#loseNext -= 1;
    return true;
  }
}
