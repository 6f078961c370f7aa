/**
 * What a failed call to etcd says of its effect.
 *
 * @module
 */
import { type StoreFailure, unreachable } from "../errors.ts";
import { decodeJson, type DecodingFailure } from "./decoding.ts";
import { CODES, Refusal } from "./etcd_messages.ts";
import type { ExchangeFailure, WholeAnswer } from "./exchange.ts";

const TOO_LARGE = /too large/;
const OK_STATUS = 200;
const TOO_MANY_REQUESTS_STATUS = 429;
const SERVER_ERROR_STATUS = 500;

/** The failure of a call without an answer. */
export function unansweredFailure(failure: ExchangeFailure): StoreFailure {
  const { message } = failure;
  switch (failure.type) {
    case "notSent":
      return { type: "storeUnreachable", message };
    case "answerLost":
    case "silent":
      return { type: "storeAnswerLost", message };
    case "answerTooLarge":
      return { type: "storeProtocol", message };
    default:
      return unreachable(failure);
  }
}

/** The failure of a call whose answer makes no sense. */
export function protocolFailure(failure: DecodingFailure): StoreFailure {
  return { type: "storeProtocol", message: failure.message };
}

/** The failure of a call that the service turned down. */
export function refusalFailure(
  answer: Pick<WholeAnswer, "status" | "body">,
  limitBytes: number,
): StoreFailure {
  const refusal = decodeJson(Refusal, answer.body).unwrapOr({} as Refusal);
  const said = refusal.message ?? refusal.error;
  const message = said ?? `the service answered with status ${answer.status}`;
  if (isBusy(answer.status, refusal)) return { type: "storeBusy", message };
  if (TOO_LARGE.test(message)) {
    return { type: "storeValueTooLarge", message, limitBytes };
  }
  if (mayHaveTakenEffect(answer.status, refusal)) {
    return { type: "storeAnswerLost", message };
  }
  return { type: "storeProtocol", message };
}

/** Whether the service says that there is no such lease. */
export function isNotFound(answer: WholeAnswer): boolean {
  const refusal = decodeJson(Refusal, answer.body).unwrapOr({} as Refusal);
  return answer.status !== OK_STATUS && refusal.code === CODES.notFound;
}

function isBusy(status: number, refusal: Refusal): boolean {
  return status === TOO_MANY_REQUESTS_STATUS ||
    refusal.code === CODES.resourceExhausted;
}

/** The service gives up on calls that its members carry out later. */
function mayHaveTakenEffect(status: number, refusal: Refusal): boolean {
  return status >= SERVER_ERROR_STATUS ||
    refusal.code === CODES.unavailable ||
    refusal.code === CODES.deadlineExceeded;
}
