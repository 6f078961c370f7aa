/**
 * Caches the advice that passed through this instance.
 *
 * Verdicts on a step never change and tickets stay valid for a while, but the
 * leader that requested them may be gone. Requests are spread over all
 * instances, so a new leader finds most of the advice in their caches.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { CachedAdvice } from "./types.ts";

/**
 * Maximum number of cached steps; the oldest are removed. Covers a few seconds
 * of requests at the largest site.
 */
const MAX_CACHED_STEPS = 256;

interface CachedStep {
  readonly bad: Set<string>;
  readonly good: Map<
    string,
    { readonly ticket: string; readonly atMs: number }
  >;
}

/** Cached advice of one instance. */
export class AdviceCache {
  readonly #clock: Clock;
  /** By step name, in the order of the latest responses. */
  readonly #steps = new Map<string, CachedStep>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a response: tickets for some of the workers that the request named.
   * The others may not run the step.
   */
  add(
    step: string,
    workers: readonly string[],
    tickets: ReadonlyMap<string, string>,
  ): void {
    const cached = this.#steps.get(step) ?? { bad: new Set(), good: new Map() };
    this.#steps.delete(step);
    this.#steps.set(step, cached);
    const atMs = this.#clock.monotonic();
    for (const worker of workers) {
      const ticket = tickets.get(worker);
      if (ticket === undefined) cached.bad.add(worker);
      else cached.good.set(worker, { ticket, atMs });
    }
    const [oldest] = this.#steps.keys();
    if (this.#steps.size > MAX_CACHED_STEPS) this.#steps.delete(oldest!);
  }

  /** Returns the cached advice on `steps`, leaving out steps without any. */
  lookUp(steps: readonly string[]): readonly CachedAdvice[] {
    const nowMs = this.#clock.monotonic();
    return steps.flatMap((step) => {
      const cached = this.#steps.get(step);
      if (cached === undefined) return [];
      const good = [...cached.good].map(([worker, { ticket, atMs }]) => ({
        worker,
        ticket,
        ageMs: nowMs - atMs,
      }));
      return { step, bad: [...cached.bad], good };
    });
  }
}
