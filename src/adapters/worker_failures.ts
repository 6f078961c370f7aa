/**
 * Maps failed requests to workers to failures, which say whether the worker
 * may have executed the request.
 *
 * @module
 */
import { assertNever, type WorkerFailure } from "../errors.ts";
import { FencedResponse } from "./agent_messages.ts";
import { decodeJson } from "./decoding.ts";
import type { CompleteResponse, ExchangeFailure } from "./exchange.ts";

/** Header of a response that rejects the request because the worker is leaving. */
const LEAVING_HEADER = "x-leaving";

const HTTP_STATUS = {
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  unavailable: 503,
} as const;

/** Statuses with which the agent rejects a request that it has not executed and will not execute. */
const REJECTION_STATUSES: ReadonlySet<number> = new Set([
  HTTP_STATUS.badRequest,
  HTTP_STATUS.notFound,
  HTTP_STATUS.gone,
  HTTP_STATUS.unavailable,
]);

/** Maps the failure of a request that received no complete response. */
export function noResponseFailure(failure: ExchangeFailure): WorkerFailure {
  const { message } = failure;
  switch (failure.type) {
    case "notSent":
      return { type: "workerUnreached", message };
    case "answerLost":
    case "silent":
    case "answerTooLarge":
      return { type: "workerSilent", message };
    default:
      return assertNever(failure);
  }
}

/** Whether the worker rejected the request, without executing it, because it is leaving. */
export function isLeavingResponse(response: CompleteResponse): boolean {
  return response.status === HTTP_STATUS.unavailable &&
    LEAVING_HEADER in response.headers;
}

/** The failure of a request that a leaving worker rejected. */
export function leavingFailure(): WorkerFailure {
  return { type: "workerLeaving", message: "the worker is leaving" };
}

/** Maps an error response of the agent. */
export function agentFailure(response: CompleteResponse): WorkerFailure {
  if (isLeavingResponse(response)) return leavingFailure();
  if (response.status === HTTP_STATUS.conflict) return fencedFailure(response);
  const message = `the agent responded with status ${response.status}`;
  const rejected = REJECTION_STATUSES.has(response.status);
  return { type: rejected ? "workerRefused" : "workerSilent", message };
}

function fencedFailure(response: CompleteResponse): WorkerFailure {
  return decodeJson(FencedResponse, response.body).match<WorkerFailure>(
    ({ fence }) => ({
      type: "workerFenced",
      message: `the worker has seen the newer fencing token ${fence}`,
      fence,
    }),
    ({ message }) => ({ type: "workerSilent", message }),
  );
}
