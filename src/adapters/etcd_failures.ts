/**
 * Maps failed etcd calls to store failures, which say whether a write may have
 * taken effect.
 *
 * @module
 */
import { assertNever, type StoreFailure } from "../errors.ts";
import { decodeJson, type DecodingFailure } from "./decoding.ts";
import { ErrorResponse, GRPC_CODES } from "./etcd_messages.ts";
import type { CompleteResponse, ExchangeFailure } from "./exchange.ts";

const TOO_LARGE_MESSAGE = /too large/;
const OK_STATUS = 200;
const TOO_MANY_REQUESTS_STATUS = 429;
const SERVER_ERROR_STATUS = 500;

/** Maps the failure of a call that received no complete response. */
export function noResponseFailure(failure: ExchangeFailure): StoreFailure {
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
      return assertNever(failure);
  }
}

/** Maps a response that could not be decoded. */
export function protocolFailure(failure: DecodingFailure): StoreFailure {
  return { type: "storeProtocol", message: failure.message };
}

/** Maps an error response. `limitBytes` is the largest value that the service accepts. */
export function errorResponseFailure(
  response: Pick<CompleteResponse, "status" | "body">,
  limitBytes: number,
): StoreFailure {
  const errorBody = decodeJson(ErrorResponse, response.body).unwrapOr(
    {} as ErrorResponse,
  );
  const reported = errorBody.message ?? errorBody.error;
  const message = reported ??
    `the service responded with status ${response.status}`;
  if (isBusy(response.status, errorBody)) return { type: "storeBusy", message };
  if (TOO_LARGE_MESSAGE.test(message)) {
    return { type: "storeValueTooLarge", message, limitBytes };
  }
  if (mayHaveTakenEffect(response.status, errorBody)) {
    return { type: "storeAnswerLost", message };
  }
  return { type: "storeProtocol", message };
}

/** Whether the response is the error that the lease does not exist. */
export function isLeaseNotFound(response: CompleteResponse): boolean {
  const errorBody = decodeJson(ErrorResponse, response.body).unwrapOr(
    {} as ErrorResponse,
  );
  return response.status !== OK_STATUS &&
    errorBody.code === GRPC_CODES.notFound;
}

function isBusy(status: number, errorBody: ErrorResponse): boolean {
  return status === TOO_MANY_REQUESTS_STATUS ||
    errorBody.code === GRPC_CODES.resourceExhausted;
}

/** After these errors, the members of the etcd cluster may still apply the write. */
function mayHaveTakenEffect(status: number, errorBody: ErrorResponse): boolean {
  return status >= SERVER_ERROR_STATUS ||
    errorBody.code === GRPC_CODES.unavailable ||
    errorBody.code === GRPC_CODES.deadlineExceeded;
}
