/**
 * Timeout for asynchronous results.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "./clock.ts";

/**
 * Resolves like `pending`, or with the given failure if `pending` takes longer than `ms` milliseconds. The work behind
 * `pending` is not canceled.
 */
export function withTimeout<T, E>(
  pending: ResultAsync<T, E>,
  options: { readonly clock: Clock; readonly ms: number; readonly error: E },
): ResultAsync<T, E> {
  const { clock, ms, error } = options;
  const earlier = new Promise<Result<T, E>>((resolve) => {
    const timer = clock.after(ms, () => resolve(err(error)));
    pending.then((result) => {
      timer.cancel();
      resolve(result);
    });
  });
  return new ResultAsync(earlier);
}
