/**
 * The journal of attempts in memory, as the runner of tasks sees it.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type {
  EndFailure,
  StartFailure,
} from "../controllers/deferred_failures.ts";
import type { TaskPlacement } from "../controllers/deferred_types.ts";
import type { AttemptOutcome } from "../journal/records.ts";

/** Attempts that were written ahead, and how they ended. */
export class MemoryAttempts {
  /** Attempts by id. */
  readonly started = new Map<string, TaskPlacement>();
  readonly endings: [string, AttemptOutcome["type"]][] = [];
  /** Why nothing may start, if so. */
  refusal: StartFailure["type"] | undefined;
  /** Holds the answers back. */
  gate: Promise<void> = Promise.resolve();

  mayStart(placement: TaskPlacement): ResultAsync<string, StartFailure> {
    return this.mayStartTogether([placement]).map(([attempt]) => attempt!);
  }

  mayStartTogether(
    placements: readonly TaskPlacement[],
  ): ResultAsync<readonly string[], StartFailure> {
    const { refusal } = this;
    if (refusal !== undefined) {
      const failure = { type: refusal, message: "asked for by a test" };
      return errAsync(failure as StartFailure);
    }
    return ResultAsync.fromSafePromise(this.gate).map(() =>
      placements.map((placement) => {
        const attempt = `attempt${this.started.size}`;
        this.started.set(attempt, placement);
        return attempt;
      })
    );
  }

  ended(
    { attempt }: { readonly attempt: string },
    { type }: AttemptOutcome,
  ): ResultAsync<void, EndFailure> {
    this.endings.push([attempt, type]);
    return okAsync(undefined);
  }
}
