/**
 * What a failed call to a worker says of its effect.
 *
 * @module
 */
import { unreachable, type WorkerFailure } from "../errors.ts";
import { FencedAnswer } from "./agent_messages.ts";
import { decodeJson } from "./decoding.ts";
import type { ExchangeFailure, WholeAnswer } from "./exchange.ts";

/** Header of a refusal because the worker is leaving. */
const LEAVING_HEADER = "x-leaving";

const STATUS = {
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  unavailable: 503,
} as const;

/** Statuses with which the agent says that it has not done and will not do what was asked. */
const REFUSALS: ReadonlySet<number> = new Set([
  STATUS.badRequest,
  STATUS.notFound,
  STATUS.gone,
  STATUS.unavailable,
]);

/** The failure of a call without a whole answer. */
export function unansweredFailure(failure: ExchangeFailure): WorkerFailure {
  const { message } = failure;
  switch (failure.type) {
    case "notSent":
      return { type: "workerUnreached", message };
    case "answerLost":
    case "silent":
    case "answerTooLarge":
      return { type: "workerSilent", message };
    default:
      return unreachable(failure);
  }
}

/** Whether the answer says that the worker is leaving and has run nothing. */
export function isLeaving(answer: WholeAnswer): boolean {
  return answer.status === STATUS.unavailable &&
    LEAVING_HEADER in answer.headers;
}

/** The failure of a call that a leaving worker turned down. */
export function leavingFailure(): WorkerFailure {
  return { type: "workerLeaving", message: "the worker is leaving" };
}

/** The failure of a call that the agent did not accept. */
export function agentFailure(answer: WholeAnswer): WorkerFailure {
  if (isLeaving(answer)) return leavingFailure();
  if (answer.status === STATUS.conflict) return fencedFailure(answer);
  const message = `the agent answered with status ${answer.status}`;
  const refused = REFUSALS.has(answer.status);
  return { type: refused ? "workerRefused" : "workerSilent", message };
}

function fencedFailure(answer: WholeAnswer): WorkerFailure {
  return decodeJson(FencedAnswer, answer.body).match<WorkerFailure>(
    ({ fence }) => ({
      type: "workerFenced",
      message: `the worker has seen fence ${fence}`,
      fence,
    }),
    ({ message }) => ({ type: "workerSilent", message }),
  );
}
