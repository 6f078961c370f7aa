/**
 * Finds out about the attempts that a former holder wrote ahead, before
 * anything is run again.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import type { AttemptState, StartedAttempt } from "../ports/runner.ts";
import { parseWorkId } from "../state/work_id.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import type { HeldSegment } from "./held_segment.ts";

/** Asks about attempts, some at a time, until each is settled or the segment is gone. */
export class Settler {
  readonly #options: DeferredOptions;
  readonly #held: HeldSegment;
  readonly #open: StartedAttempt[];
  #asking = 0;

  constructor(
    options: DeferredOptions,
    held: HeldSegment,
    attempts: readonly StartedAttempt[],
  ) {
    this.#options = options;
    this.#held = held;
    this.#open = [...attempts];
  }

  /** Attempts not settled yet. */
  get count(): number {
    return this.#open.length + this.#asking;
  }

  /** Starts asking. */
  start(): void {
    const { findConcurrency } = this.#options.limits;
    const lanes = Math.min(findConcurrency, this.#open.length);
    for (let lane = 0; lane < lanes; lane++) this.#run();
  }

  async #run(): Promise<void> {
    for (
      let attempt = this.#open.shift();
      attempt !== undefined;
      attempt = this.#open.shift()
    ) {
      this.#asking++;
      await this.#settle(attempt);
      this.#asking--;
    }
  }

  async #settle(attempt: StartedAttempt): Promise<void> {
    while (!this.#held.closed) {
      const found = await this.#options.runner.find(attempt);
      if (found.isOk() && await this.#write(attempt, found.value)) return;
      await sleep(this.#options.clock, this.#options.limits.findRetryMs);
    }
  }

  async #write(
    attempt: StartedAttempt,
    finding: AttemptState,
  ): Promise<boolean> {
    const outcome = outcomeOf(finding);
    const id = parseWorkId(attempt.work);
    if (outcome === undefined || id === undefined) return true;
    const { sequence } = id;
    const result = await this.#held.end({ ...attempt, sequence, outcome });
    return result.isOk();
  }
}

/** The ending that a finding stands for; `undefined` while the attempt runs. */
function outcomeOf(finding: AttemptState): AttemptOutcome | undefined {
  switch (finding.type) {
    case "running":
      return undefined;
    case "ended":
      return finding.outcome;
    case "neverStarted":
      return { type: "notStarted" };
    case "unknown":
      return { type: "lost" };
    default:
      return assertNever(finding);
  }
}
