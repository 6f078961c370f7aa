/**
 * Runs a non-idempotent request at most once for each idempotency key.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { IdempotencyGuard } from "../ports/key_guard.ts";
import type { Outcome, Reason } from "../types.ts";
import type { Exchange, Filter, Next } from "./chain.ts";

/** Header by which callers name a request. */
export const KEY_HEADER = "idempotency-key";
/** Longest key that is taken, characters. */
const KEY_LIMIT_CHARS = 200;
/** Time to come back after while the same request runs, milliseconds. */
const IN_PROGRESS_RETRY_MS = 500;

/** What is remembered of a request that failed inside this instance. */
const lost: Outcome = { type: "unknown", reason: { type: "keyMemoryLost" } };

/** Makes the filter. */
export function atMostOnce(guard: IdempotencyGuard): Filter {
  return async (exchange, next) => {
    const key = exchange.headers[KEY_HEADER];
    const idempotent = exchange.service?.idempotent ?? true;
    if (idempotent || key === undefined) return await next(exchange);
    if (key.length === 0 || key.length > KEY_LIMIT_CHARS) {
      const detail = `${KEY_HEADER} has 1 to ${KEY_LIMIT_CHARS} characters`;
      return notRun({ type: "badRequest", detail });
    }
    return await runOnce(guard, { exchange, next, key });
  };
}

async function runOnce(
  guard: IdempotencyGuard,
  { exchange, next, key }: {
    readonly exchange: Exchange;
    readonly next: Next;
    readonly key: string;
  },
): Promise<Outcome> {
  const team = exchange.team ?? "";
  const state = await guard.begin(team, key);
  switch (state.type) {
    case "fresh": {
      const outcome = await next(exchange).catch(async (error) => {
        await guard.finish(team, key, lost);
        throw error;
      });
      await guard.finish(team, key, outcome);
      return outcome;
    }
    case "ended":
      return state.outcome;
    case "inProgress":
      return {
        type: "unknown",
        reason: { type: "duplicateKey" },
        retryAfterMs: IN_PROGRESS_RETRY_MS,
      };
    case "forgotten":
      return { type: "unknown", reason: { type: "keyMemoryLost" } };
    case "homeAway":
      return notRun({ type: "noOwner" }, state.retryAfterMs);
    default:
      return assertNever(state);
  }
}

function notRun(reason: Reason, retryAfterMs?: number): Outcome {
  return { type: "notRun", reason, retryAfterMs };
}
