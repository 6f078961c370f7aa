/**
 * `request WORKLOAD PATH`: sends a request to a service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { okAsync, type ResultAsync } from "neverthrow";
import type { ToolFailure } from "../failures.ts";
import { askAsTeam, keyOption } from "../instances.ts";
import {
  argument,
  type Input,
  type InstanceAnswer,
  option,
  type Tool,
  type ToolCommand,
} from "../tool.ts";
import type { Report } from "../report.ts";

/** Sends a request and prints the whole answer. */
export const requestCommand: ToolCommand = {
  name: "request",
  arguments: "<workload> <path>",
  summary: "send a request to a service and print the answer",
  example:
    "zinniapoint request receipt-print /print --method POST --data receipt.json",
  options: [
    { flags: "--method <method>", help: "GET, or POST with --data" },
    { flags: "--data <file>", help: "body of the request; - for stdin" },
    { flags: "--type <media>", help: "media type of the body" },
    {
      flags: "--idempotency-key <text>",
      help: "the same text again runs nothing twice",
    },
    keyOption,
  ],
  run(tool, input) {
    const workload = encodeURIComponent(argument(input, 0));
    const rest = argument(input, 1).replace(/^\//, "");
    return readBody(tool, input)
      .andThen((body) =>
        askAsTeam(tool, input, {
          method: option(input, "method") ?? (body ? "POST" : "GET"),
          path: `/v1/request/${workload}/${rest}`,
          headers: headersOf(input),
          body,
        })
      )
      .map(report);
  },
};

function headersOf(input: Input): Record<string, string> {
  const type = option(input, "type");
  const idempotencyKey = option(input, "idempotencyKey");
  return {
    ...(type === undefined ? {} : { "content-type": type }),
    ...(idempotencyKey === undefined
      ? {}
      : { "idempotency-key": idempotencyKey }),
  };
}

function readBody(
  tool: Tool,
  input: Input,
): ResultAsync<Uint8Array | undefined, ToolFailure> {
  const file = option(input, "data");
  return file === undefined ? okAsync(undefined) : tool.host.readFile(file);
}

function report(answer: InstanceAnswer): Report {
  const { status, headers } = answer;
  const body = Buffer.from(answer.body);
  return {
    json: { status, headers, body: body.toString("base64") },
    text: "",
    bytes: answer.body,
  };
}
