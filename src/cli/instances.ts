/**
 * Calls of instances: those of operators bear the operators' key, those of
 * teams a team's.
 *
 * @module
 */
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { Reason } from "../types.ts";
import { type ToolFailure, usageFailure } from "./failures.ts";
import {
  type Input,
  type InstanceAnswer,
  type InstanceCall,
  option,
  settingsOf,
  type Tool,
  type ToolOption,
} from "./tool.ts";

/** Header by which an instance says what became of a call. */
const OUTCOME_HEADER = "zinniapoint-outcome";

/** Option of commands that act for a team. */
export const keyOption: ToolOption = {
  flags: "--key <key>",
  help: "key of the team, better given by the environment",
  variable: "ZINNIAPOINT_KEY",
};

interface FailureBody {
  readonly message?: string;
  /** What `explain` says in place of a message. */
  readonly summary?: string;
  readonly outcome?: "notRun" | "unknown";
  readonly reason?: Reason;
  readonly retryAfterMs?: number;
}

/** Asks as an operator and reads the JSON answer. */
export function askAsOperator(
  tool: Tool,
  path: string,
): ResultAsync<unknown, ToolFailure> {
  return settingsOf(tool)
    .andThen((settings) =>
      tool.host.openInstances(settings).send({
        method: "GET",
        path,
        key: settings.operator.key,
        idempotent: true,
      })
    )
    .andThen(accept)
    .andThen(decode);
}

/** Reads JSON with the team's key. */
export function readAsTeam(
  tool: Tool,
  input: Input,
  options: { readonly path: string },
): ResultAsync<unknown, ToolFailure> {
  const call = { method: "GET", path: options.path, idempotent: true };
  return askAsTeam(tool, input, call).andThen(decode);
}

/** Asks with the team's key of `--key` or of the environment; without any, as an open queue allows. */
export function askAsTeam(
  tool: Tool,
  input: Input,
  call: InstanceCall,
): ResultAsync<InstanceAnswer, ToolFailure> {
  const key = option(input, "key");
  if (key !== undefined && !/^[a-z0-9-]+\.[\w-]+$/.test(key)) {
    return errAsync(usageFailure("the key is not like NAME.SECRET"));
  }
  return settingsOf(tool)
    .andThen((settings) =>
      tool.host.openInstances(settings).send({ ...call, key })
    )
    .andThen(accept);
}

/** Reads a JSON answer. */
export function decode(answer: InstanceAnswer): Result<unknown, ToolFailure> {
  const body = parseJson(answer);
  if (body !== undefined) return ok(body);
  const { status } = answer;
  const message = `the instance answered ${status} with no JSON`;
  return err({ type: "refused", message, status });
}

function accept(answer: InstanceAnswer): Result<InstanceAnswer, ToolFailure> {
  const { status, headers } = answer;
  const outcome = headers[OUTCOME_HEADER];
  const accepted = outcome === undefined ? status < 400 : outcome === "done";
  if (accepted) return ok(answer);
  const body = (parseJson(answer) ?? {}) as FailureBody;
  return err({
    type: "refused",
    message: body.message ?? body.summary ?? `the instance answered ${status}`,
    status,
    outcome: body.outcome,
    reason: body.reason,
    retryAfterMs: body.retryAfterMs,
  });
}

function parseJson(answer: InstanceAnswer): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(answer.body));
  } catch {
    return undefined;
  }
}
