/**
 * Records how each item of a trace was completed.
 *
 * @module
 */
import type { Urgency } from "../../src/types.ts";
import type { Item } from "./trace.ts";

/** Starts, completions and rejections in one simulation. */
export class Outcomes {
  readonly startedAtMs: Float64Array;
  readonly endedAtMs: Float64Array;
  /** Items rejected with the guarantee that they did not run. */
  refused = 0;
  /** Items of unknown outcome: they may have run. */
  unknown = 0;
  /** Items whose caller was connected to an instance that failed. */
  disconnected = 0;
  /** Attempts that failed on a worker. */
  failed = 0;
  /** Repeated starts of items that are not idempotent. */
  repeatedStarts = 0;
  readonly #settled: Uint8Array;

  constructor(length: number) {
    this.startedAtMs = new Float64Array(length).fill(Infinity);
    this.endedAtMs = new Float64Array(length).fill(Infinity);
    this.#settled = new Uint8Array(length);
  }

  /** Records a start on a worker. */
  recordStart(item: Item, nowMs: number): void {
    if (this.startedAtMs[item.index]! < Infinity && !item.idempotent) {
      this.repeatedStarts++;
    }
    this.startedAtMs[item.index] = Math.min(
      nowMs,
      this.startedAtMs[item.index]!,
    );
  }

  /** Records a completion with a response. */
  recordEnd(item: Item, nowMs: number): void {
    this.endedAtMs[item.index] = Math.min(nowMs, this.endedAtMs[item.index]!);
    this.#settled[item.index] = 1;
  }

  /** Records the outcome of an item that gets no result. */
  settle(item: Item, outcome: "refused" | "unknown" | "disconnected"): void {
    if (this.#settled[item.index] === 1) return;
    this.#settled[item.index] = 1;
    this[outcome]++;
  }

  /** Whether the item has an outcome of any kind. */
  isSettled(item: Item): boolean {
    return this.#settled[item.index] === 1;
  }
}

/**
 * Waits of the items of one urgency, milliseconds, ascending. An item that was
 * neither started nor settled counts as an infinite wait; one settled without
 * a start is left out.
 */
export function sortedWaits(
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

/** Percentile of values in ascending order; 0 if there are none. */
export function percentile(values: Float64Array, percent: number): number {
  const index = Math.ceil(values.length * percent / 100) - 1;
  return values[Math.max(0, index)] ?? 0;
}
