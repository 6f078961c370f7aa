/**
 * Answers of the advice service that this instance has carried.
 *
 * The service's verdicts on a step never change and its permissions last, but
 * the holder that asked may be gone. Every instance carries questions, so a
 * new holder finds most answers at the others.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { RecalledAdvice } from "./types.ts";

/** Steps that are remembered, the newest; a few seconds' questions of the largest site measured. */
const MAX_STEPS = 256;

interface Remembered {
  readonly bad: Set<string>;
  readonly good: Map<
    string,
    { readonly ticket: string; readonly atMs: number }
  >;
}

/** What one instance remembers. */
export class AdviceMemory {
  readonly #clock: Clock;
  /** By step; the order is that of the last answers. */
  readonly #steps = new Map<string, Remembered>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes note of an answer: the permissions for some of the workers asked about. */
  note(
    step: string,
    workers: readonly string[],
    tickets: ReadonlyMap<string, string>,
  ): void {
    const known = this.#steps.get(step) ?? { bad: new Set(), good: new Map() };
    this.#steps.delete(step);
    this.#steps.set(step, known);
    const atMs = this.#clock.monotonic();
    for (const worker of workers) {
      const ticket = tickets.get(worker);
      if (ticket === undefined) known.bad.add(worker);
      else known.good.set(worker, { ticket, atMs });
    }
    const [oldest] = this.#steps.keys();
    if (this.#steps.size > MAX_STEPS) this.#steps.delete(oldest!);
  }

  /** Tells what is known of these steps. */
  recall(steps: readonly string[]): readonly RecalledAdvice[] {
    const nowMs = this.#clock.monotonic();
    return steps.flatMap((step) => {
      const known = this.#steps.get(step);
      if (known === undefined) return [];
      const good = [...known.good].map(([worker, { ticket, atMs }]) => ({
        worker,
        ticket,
        ageMs: nowMs - atMs,
      }));
      return { step, bad: [...known.bad], good };
    });
  }
}
