/**
 * Converts outcomes into HTTP answers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { assertNever } from "../errors.ts";
import type { Outcome, Reason } from "../types.ts";

/** Response header with the type of the outcome. */
export const OUTCOME_HEADER = "zinniapoint-outcome";

const MS_PER_SECOND = 1_000;

/** HTTP status of a request that did not run. */
export function statusOf(reason: Reason): number {
  switch (reason.type) {
    case "unknownKey":
    case "withdrawnKey":
      return 401;
    case "notAllowed":
      return 403;
    case "unknownWorkload":
      return 404;
    case "badRequest":
      return 400;
    case "tooLarge":
      return 413;
    case "duplicateKey":
      return 409;
    case "neverFits":
      return 422;
    case "queueFull":
    case "overLimit":
    case "overShare":
      return 429;
    case "cancelled":
      return 410;
    case "attemptsSpent":
    case "workerFailed":
    case "workerLost":
    case "peerLost":
    case "keyMemoryLost":
      return 502;
    case "deadlineTooClose":
    case "noRoom":
    case "noOwner":
    case "overloaded":
    case "isolated":
    case "stopping":
    case "storeAway":
    case "notConfigured":
    case "placed":
      return 503;
    default:
      return assertNever(reason);
  }
}

/** HTTP statuses whose responses have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body) + "\n";
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  endAfterRequestBody(response, text);
}

/**
 * Ends a response only after the caller has sent its whole body: closing the
 * connection earlier would reset it, and the caller could lose the response.
 */
function endAfterRequestBody(response: ServerResponse, text: string): void {
  const { req } = response;
  if (req.complete) {
    response.end(text);
    return;
  }
  response.write(text);
  req.once("end", () => response.end());
  req.resume();
}

/** Sends the response for a request that did not run or whose outcome is unknown. */
export function sendFailure(
  response: ServerResponse,
  failure: Exclude<Outcome, { type: "done" }>,
): void {
  const { type, reason, retryAfterMs } = failure;
  response.setHeader(OUTCOME_HEADER, type);
  if (retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
    response.setHeader("retry-after", String(seconds));
  }
  const status = type === "notRun" ? statusOf(reason) : 502;
  sendJson(response, status, {
    type: reason.type,
    outcome: type,
    message: messageOf(failure),
    reason,
    retryAfterMs,
  });
}

/** Sends the response for an outcome. */
export function sendOutcome(response: ServerResponse, outcome: Outcome): void {
  if (outcome.type !== "done") return sendFailure(response, outcome);
  const { answer } = outcome;
  const body = Buffer.from(answer.body, "base64");
  const bodyless = BODYLESS_STATUSES.has(answer.status) ||
    response.req.method === "HEAD";
  response.writeHead(answer.status, {
    ...answer.headers,
    [OUTCOME_HEADER]: "done",
    "zinniapoint-worker": answer.worker,
    ...(bodyless ? {} : { "content-length": body.length }),
  });
  response.end(body);
}

function messageOf(failure: Exclude<Outcome, { type: "done" }>): string {
  const prefix = failure.type === "notRun"
    ? "not run"
    : "it may have run, once at most";
  return `${prefix}: ${describe(failure.reason)}`;
}

/** One sentence for a person that describes a {@linkcode Reason}. */
export function describe(reason: Reason): string {
  switch (reason.type) {
    case "placed":
      return `placed on worker ${reason.worker}`;
    case "unknownKey":
      return "no known key came with it; send `Authorization: Bearer KEY`";
    case "withdrawnKey":
      return "the key has been withdrawn; ask an operator for a new one";
    case "unknownWorkload":
      return `there is no workload ${reason.workload}`;
    case "notAllowed":
      return `the key's team may not use queue ${reason.queue}`;
    case "badRequest":
      return reason.detail;
    case "tooLarge":
      return `larger than ${reason.limitBytes} bytes`;
    case "queueFull":
      return `queue ${reason.queue} is full`;
    case "deadlineTooClose":
      return `queue ${reason.queue} cannot answer it in time`;
    case "overLimit":
      return `team ${reason.team} has its upper limit of ${reason.limit} running`;
    case "overShare":
      return `team ${reason.team} uses more than its share of the full fleet`;
    case "noRoom":
      return `no worker has room for ${reason.workload} now`;
    case "neverFits":
      return `no worker of the fleet could ever hold ${reason.workload}`;
    case "noOwner":
      return "no instance is responsible for it at the moment";
    case "overloaded":
      return "other requests take all the memory of this instance";
    case "isolated":
      return "this instance has lost contact; another will take it";
    case "stopping":
      return "this instance is shutting down; another will take it";
    case "storeAway":
      return "the platform's key-value service is away";
    case "notConfigured":
      return "no configuration has been published yet";
    case "workerLost":
      return `worker ${reason.worker} gave no answer`;
    case "workerFailed":
      return `worker ${reason.worker} refused it`;
    case "peerLost":
      return `instance ${reason.peer} gave no answer`;
    case "keyMemoryLost":
      return "nobody remembers whether this idempotency key was used";
    case "duplicateKey":
      return "a request with this idempotency key is running";
    case "attemptsSpent":
      return `all ${reason.attempts} attempts failed`;
    case "cancelled":
      return "it was cancelled";
    default:
      return assertNever(reason);
  }
}
