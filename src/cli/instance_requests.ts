/**
 * Requests to instances on behalf of an operator, with the operators' key, or
 * of a team, with the team's key.
 *
 * @module
 */
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { Reason } from "../types.ts";
import { type ToolFailure, usageFailure } from "./failures.ts";
import {
  type CommandInput,
  type InstanceRequest,
  type InstanceResponse,
  option,
  readSettings,
  type ToolContext,
  type ToolOption,
} from "./tool.ts";

/** Response header with the outcome of the request. */
const OUTCOME_HEADER = "zinniapoint-outcome";

/** Option of commands that act on behalf of a team. */
export const keyOption: ToolOption = {
  flags: "--key <key>",
  help: "key of the team; better set it in the environment",
  environmentVariable: "ZINNIAPOINT_KEY",
};

/** Body of a response that reports a failure. */
interface FailureBody {
  readonly message?: string;
  /** Returned by `/v1/explain` instead of a message. */
  readonly summary?: string;
  readonly outcome?: "notRun" | "unknown";
  readonly reason?: Reason;
  readonly retryAfterMs?: number;
}

/** Sends a GET request with the operators' key and decodes the JSON response. */
export function getAsOperator(
  tool: ToolContext,
  path: string,
): ResultAsync<unknown, ToolFailure> {
  return readSettings(tool)
    .andThen((settings) =>
      tool.host.openInstanceClient(settings).send({
        method: "GET",
        path,
        key: settings.operator.key,
        idempotent: true,
      })
    )
    .andThen(checkOutcome)
    .andThen(decodeJson);
}

/** Sends a GET request with the team's key and decodes the JSON response. */
export function getAsTeam(
  tool: ToolContext,
  input: CommandInput,
  options: { readonly path: string },
): ResultAsync<unknown, ToolFailure> {
  const request = { method: "GET", path: options.path, idempotent: true };
  return sendAsTeam(tool, input, request).andThen(decodeJson);
}

/**
 * Sends a request with the team's key from `--key` or the environment. Without
 * a key it is sent unauthenticated, which open queues permit.
 */
export function sendAsTeam(
  tool: ToolContext,
  input: CommandInput,
  request: InstanceRequest,
): ResultAsync<InstanceResponse, ToolFailure> {
  const key = option(input, "key");
  if (key !== undefined && !/^[a-z0-9-]+\.[\w-]+$/.test(key)) {
    return errAsync(usageFailure("the key must have the form NAME.SECRET"));
  }
  return readSettings(tool)
    .andThen((settings) =>
      tool.host.openInstanceClient(settings).send({ ...request, key })
    )
    .andThen(checkOutcome);
}

/** Decodes a JSON response; fails if the body is not JSON. */
export function decodeJson(
  response: InstanceResponse,
): Result<unknown, ToolFailure> {
  const body = parseJson(response);
  if (body !== undefined) return ok(body);
  const { status } = response;
  const message = `the instance returned status ${status} without valid JSON`;
  return err({ type: "refused", message, status });
}

/** Turns a response that reports a failure into a failure. Without the outcome header the status decides. */
function checkOutcome(
  response: InstanceResponse,
): Result<InstanceResponse, ToolFailure> {
  const { status, headers } = response;
  const outcome = headers[OUTCOME_HEADER];
  const succeeded = outcome === undefined ? status < 400 : outcome === "done";
  if (succeeded) return ok(response);
  const body = (parseJson(response) ?? {}) as FailureBody;
  return err({
    type: "refused",
    message: body.message ?? body.summary ??
      `the instance returned status ${status}`,
    status,
    outcome: body.outcome,
    reason: body.reason,
    retryAfterMs: body.retryAfterMs,
  });
}

function parseJson(response: InstanceResponse): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(response.body));
  } catch {
    return undefined;
  }
}
