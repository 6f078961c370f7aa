/**
 * What became of each item of a trace.
 *
 * @module
 */
import type { Urgency } from "../../src/types.ts";
import type { Item } from "./trace.ts";

/** Starts, ends and refusals of one run. */
export class Outcomes {
  readonly startedAtMs: Float64Array;
  readonly endedAtMs: Float64Array;
  /** Items refused with the promise that they did not run. */
  refused = 0;
  /** Items that may have run. */
  unknown = 0;
  /** Items whose caller was connected to an instance that died. */
  disconnected = 0;
  /** Attempts that failed on a worker. */
  failed = 0;
  /** Starts of an item that was already running or done. */
  doubled = 0;
  readonly #settled: Uint8Array;

  constructor(length: number) {
    this.startedAtMs = new Float64Array(length).fill(Infinity);
    this.endedAtMs = new Float64Array(length).fill(Infinity);
    this.#settled = new Uint8Array(length);
  }

  /** Notes a start on a worker. */
  start(item: Item, nowMs: number): void {
    if (this.startedAtMs[item.index]! < Infinity && !item.idempotent) {
      this.doubled++;
    }
    this.startedAtMs[item.index] = Math.min(
      nowMs,
      this.startedAtMs[item.index]!,
    );
  }

  /** Notes an end with an answer. */
  end(item: Item, nowMs: number): void {
    this.endedAtMs[item.index] = Math.min(nowMs, this.endedAtMs[item.index]!);
    this.#settled[item.index] = 1;
  }

  /** Notes an end without an answer. */
  settle(item: Item, outcome: "refused" | "unknown" | "disconnected"): void {
    if (this.#settled[item.index] === 1) return;
    this.#settled[item.index] = 1;
    this[outcome]++;
  }

  /** Whether the item has been answered one way or another. */
  isSettled(item: Item): boolean {
    return this.#settled[item.index] === 1;
  }
}

/** Waits of the items of one urgency that were started, ascending; those never started and not refused wait for ever. */
export function waitsOf(
  outcomes: Outcomes,
  options: {
    readonly trace: readonly Item[];
    readonly urgency: Urgency;
    readonly fromMs: number;
  },
): Float64Array {
  const { trace, urgency, fromMs } = options;
  const waits: number[] = [];
  for (const item of trace) {
    if (item.urgency !== urgency || item.arrivedAtMs < fromMs) continue;
    const startedAtMs = outcomes.startedAtMs[item.index]!;
    if (startedAtMs === Infinity && outcomes.isSettled(item)) continue;
    waits.push(startedAtMs - item.arrivedAtMs);
  }
  return Float64Array.from(waits).sort();
}

/** A percentile of ascending values. */
export function percentile(values: Float64Array, percent: number): number {
  const index = Math.ceil(values.length * percent / 100) - 1;
  return values[Math.max(0, index)] ?? 0;
}
