/**
 * `submit WORKLOAD`: submits deferred work.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { reportValue } from "../report.ts";
import { decodeJson, keyOption, sendAsTeam } from "../instance_requests.ts";
import {
  argument,
  type CommandInput,
  flag,
  option,
  type ToolCommand,
  type ToolContext,
} from "../tool.ts";
import { waitForWork } from "../work_wait.ts";

/** Submits work and, with `--wait`, polls until the work has ended. */
export const submitCommand: ToolCommand = {
  name: "submit",
  arguments: "<workload>",
  summary: "submit work that may be done later",
  example:
    "zinniapoint submit page-count-billing --payload month.json --count 12",
  options: [
    { flags: "--payload <file>", help: "input of the tasks; - for stdin" },
    { flags: "--count <n>", help: "number of tasks" },
    { flags: "--wait", help: "wait until the work has ended" },
    {
      flags: "--idempotency-key <text>",
      help: "repeated submissions with the same text count as one",
    },
    keyOption,
  ],
  run(tool, input) {
    const count = option(input, "count");
    if (count !== undefined && !/^[1-9]\d*$/.test(count)) {
      return errAsync(usageFailure("--count must be a whole number above 0"));
    }
    const idempotencyKey = option(input, "idempotencyKey") ?? randomUUID();
    return readPayload(tool, input)
      .andThen((payload) =>
        sendAsTeam(tool, input, {
          method: "POST",
          path: "/v1/work",
          headers: {
            "content-type": "application/json",
            "idempotency-key": idempotencyKey,
          },
          body: Buffer.from(JSON.stringify({
            workload: argument(input, 0),
            payload,
            count: count === undefined ? undefined : Number(count),
          })),
        })
      )
      .andThen(decodeJson)
      .andThen((submitted) =>
        flag(input, "wait")
          ? waitForWork(tool, input, { submitted })
          : okAsync(submitted)
      )
      .map(reportValue)
      .mapErr((failure) => addRetryHint(failure, idempotencyKey));
  },
};

function readPayload(
  tool: ToolContext,
  input: CommandInput,
): ResultAsync<string, ToolFailure> {
  const file = option(input, "payload");
  if (file === undefined) return okAsync("");
  return tool.host.readFile(file)
    .map((bytes) => Buffer.from(bytes).toString("base64"));
}

/** If the response was lost, adds to the message how to retry without submitting twice. */
function addRetryHint(
  failure: ToolFailure,
  idempotencyKey: string,
): ToolFailure {
  if (failure.type !== "instanceSilent") return failure;
  const message =
    `${failure.message}; retry with --idempotency-key ${idempotencyKey}`;
  return { ...failure, message };
}
