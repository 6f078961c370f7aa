/**
 * Bounds the wait for a result.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "./clock.ts";

/** The result, or `late` if it has not come after `ms` milliseconds. */
export function withDeadline<T, E>(
  pending: ResultAsync<T, E>,
  options: { readonly clock: Clock; readonly ms: number; readonly late: E },
): ResultAsync<T, E> {
  const { clock, ms, late } = options;
  const first = new Promise<Result<T, E>>((resolve) => {
    const timer = clock.after(ms, () => resolve(err(late)));
    pending.then((result) => {
      timer.cancel();
      resolve(result);
    });
  });
  return new ResultAsync(first);
}
