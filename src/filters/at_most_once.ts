/**
 * Runs a non-idempotent request at most once for each idempotency key.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { IdempotencyGuard } from "../ports/key_guard.ts";
import type { Outcome, Reason } from "../types.ts";
import type { Exchange, Filter, Next } from "./chain.ts";

/** Request header with the idempotency key. */
export const KEY_HEADER = "idempotency-key";
/** Maximum length of a key, in characters. */
const MAX_KEY_CHARS = 200;
/** Retry delay suggested to callers while a request with the same key runs. */
const IN_PROGRESS_RETRY_DELAY_MS = 500;

/** Recorded outcome of a request that failed inside this instance: it may have run. */
const mayHaveRun: Outcome = {
  type: "unknown",
  reason: { type: "keyMemoryLost" },
};

/** Creates the filter. Requests without a key and those to idempotent services pass unchanged. */
export function atMostOnce(guard: IdempotencyGuard): Filter {
  return async (exchange, next) => {
    const key = exchange.headers[KEY_HEADER];
    const idempotent = exchange.service?.idempotent ?? true;
    if (idempotent || key === undefined) return await next(exchange);
    if (key.length === 0 || key.length > MAX_KEY_CHARS) {
      const detail = `${KEY_HEADER} has 1 to ${MAX_KEY_CHARS} characters`;
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
  const keyState = await guard.begin(team, key);
  switch (keyState.type) {
    case "fresh": {
      const outcome = await next(exchange).catch(async (error) => {
        await guard.finish(team, key, mayHaveRun);
        throw error;
      });
      await guard.finish(team, key, outcome);
      return outcome;
    }
    case "ended":
      return keyState.outcome;
    case "inProgress":
      return {
        type: "unknown",
        reason: { type: "duplicateKey" },
        retryAfterMs: IN_PROGRESS_RETRY_DELAY_MS,
      };
    case "forgotten":
      return { type: "unknown", reason: { type: "keyMemoryLost" } };
    case "homeAway":
      return notRun({ type: "noOwner" }, keyState.retryAfterMs);
    default:
      return assertNever(keyState);
  }
}

function notRun(reason: Reason, retryAfterMs?: number): Outcome {
  return { type: "notRun", reason, retryAfterMs };
}
