/**
 * In-memory fake of the journal of attempts that {@linkcode TaskDispatcher} writes to.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type {
  CompletionFailure,
  StartFailure,
} from "../controllers/deferred_failures.ts";
import type { TaskPlacement } from "../controllers/deferred_types.ts";
import type { AttemptOutcome } from "../journal/records.ts";

/** Records the attempts that were started and their outcomes. */
export class MemoryAttempts {
  /** Placements by attempt ID. */
  readonly started = new Map<string, TaskPlacement>();
  /** Attempt ID and outcome type of each completed attempt. */
  readonly outcomes: [string, AttemptOutcome["type"]][] = [];
  /** If set, every start fails with this type. */
  startFailure: StartFailure["type"] | undefined;
  /** Starts are answered once this promise resolves. */
  startGate: Promise<void> = Promise.resolve();

  mayStart(placement: TaskPlacement): ResultAsync<string, StartFailure> {
    return this.mayStartTogether([placement]).map(([attempt]) => attempt!);
  }

  mayStartTogether(
    placements: readonly TaskPlacement[],
  ): ResultAsync<readonly string[], StartFailure> {
    const { startFailure } = this;
    if (startFailure !== undefined) {
      const failure = { type: startFailure, message: "injected by a test" };
      return errAsync(failure as StartFailure);
    }
    return ResultAsync.fromSafePromise(this.startGate).map(() =>
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
  ): ResultAsync<void, CompletionFailure> {
    this.outcomes.push([attempt, type]);
    return okAsync(undefined);
  }
}
