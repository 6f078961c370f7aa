/**
 * Determines the outcome of attempts that the previous owner of a segment
 * journalled, before their tasks may run again.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import type { AttemptState, StartedAttempt } from "../ports/runner.ts";
import { parseWorkId } from "../state/work_id.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";
import type { OwnedSegment } from "./owned_segment.ts";

/**
 * Queries the state of unresolved attempts, up to `limits.findConcurrency` at
 * a time, until each has an outcome or the segment is closed.
 */
export class AttemptRecovery {
  readonly #options: DeferredWorkOptions;
  readonly #segment: OwnedSegment;
  readonly #unresolved: StartedAttempt[];
  #inFlight = 0;

  constructor(
    options: DeferredWorkOptions,
    segment: OwnedSegment,
    attempts: readonly StartedAttempt[],
  ) {
    this.#options = options;
    this.#segment = segment;
    this.#unresolved = [...attempts];
  }

  /** Number of attempts whose outcome is still unknown. */
  get unresolvedCount(): number {
    return this.#unresolved.length + this.#inFlight;
  }

  /** Starts resolving the attempts. */
  start(): void {
    const { findConcurrency } = this.#options.limits;
    const concurrency = Math.min(findConcurrency, this.#unresolved.length);
    for (let index = 0; index < concurrency; index++) this.#resolveNext();
  }

  async #resolveNext(): Promise<void> {
    for (
      let attempt = this.#unresolved.shift();
      attempt !== undefined;
      attempt = this.#unresolved.shift()
    ) {
      this.#inFlight++;
      await this.#resolve(attempt);
      this.#inFlight--;
    }
  }

  async #resolve(attempt: StartedAttempt): Promise<void> {
    while (!this.#segment.isClosed) {
      const found = await this.#options.runner.find(attempt);
      if (found.isOk() && await this.#recordOutcome(attempt, found.value)) {
        return;
      }
      await sleep(this.#options.clock, this.#options.limits.findRetryDelayMs);
    }
  }

  async #recordOutcome(
    attempt: StartedAttempt,
    state: AttemptState,
  ): Promise<boolean> {
    const outcome = outcomeOf(state);
    const id = parseWorkId(attempt.work);
    if (outcome === undefined || id === undefined) return true;
    const { sequence } = id;
    const result = await this.#segment.completeAttempt({
      ...attempt,
      sequence,
      outcome,
    });
    return result.isOk();
  }
}

/** Maps the state of an attempt to its outcome; `undefined` while it is running. */
function outcomeOf(state: AttemptState): AttemptOutcome | undefined {
  switch (state.type) {
    case "running":
      return undefined;
    case "ended":
      return state.outcome;
    case "neverStarted":
      return { type: "notStarted" };
    case "unknown":
      return { type: "lost" };
    default:
      return assertNever(state);
  }
}
