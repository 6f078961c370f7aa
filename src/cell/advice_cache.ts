/**
 * Caches the advice that passed through this instance.
 *
 * Verdicts on a step hold as long as the worker's process and tickets stay valid
 * for a while, but the leader that requested them may be gone. Requests are
 * spread over all instances, so a new leader finds most of the advice in their
 * caches.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { CachedAdvice } from "./types.ts";
import type { WorkerProcess } from "./verdicts.ts";

/**
 * Maximum number of cached steps; the oldest are removed. Covers a few seconds
 * of requests at the largest site.
 */
const MAX_CACHED_STEPS = 256;

/** The latest answer about a worker. */
interface CachedAnswer {
  readonly worker: WorkerProcess;
  /** `undefined` if the worker may not run the step. */
  readonly ticket: string | undefined;
  readonly atMs: number;
}

/** Answers about one step, by worker id. */
type CachedStep = Map<string, CachedAnswer>;

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
    workers: readonly WorkerProcess[],
    tickets: ReadonlyMap<string, string>,
  ): void {
    const cached: CachedStep = this.#steps.get(step) ?? new Map();
    this.#steps.delete(step);
    this.#steps.set(step, cached);
    const atMs = this.#clock.monotonic();
    for (const worker of workers) {
      const ticket = tickets.get(worker.id);
      cached.set(worker.id, { worker, ticket, atMs });
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
      const answers = [...cached.values()];
      const bad = answers.filter(({ ticket }) => ticket === undefined)
        .map(({ worker }) => worker);
      const good = answers.flatMap(({ worker, ticket, atMs }) =>
        ticket === undefined ? [] : [{ worker, ticket, ageMs: nowMs - atMs }]
      );
      return { step, bad, good };
    });
  }
}
