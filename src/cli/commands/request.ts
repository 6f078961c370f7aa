/**
 * `request WORKLOAD PATH`: sends a request to a service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { okAsync, type ResultAsync } from "neverthrow";
import type { ToolFailure } from "../failures.ts";
import { keyOption, sendAsTeam } from "../instance_requests.ts";
import {
  argument,
  type CommandInput,
  type InstanceResponse,
  option,
  type ToolCommand,
  type ToolContext,
} from "../tool.ts";
import type { Report } from "../report.ts";

/** Sends a request and prints the body of the response. */
export const requestCommand: ToolCommand = {
  name: "request",
  arguments: "<workload> <path>",
  summary: "send a request to a service and print the response",
  example:
    "zinniapoint request receipt-print /print --method POST --data receipt.json",
  options: [
    {
      flags: "--method <method>",
      help: "HTTP method (default: GET, or POST with --data)",
    },
    { flags: "--data <file>", help: "body of the request; - for stdin" },
    { flags: "--type <media>", help: "media type of the body" },
    {
      flags: "--idempotency-key <text>",
      help: "repeated requests with the same text run only once",
    },
    keyOption,
  ],
  run(tool, input) {
    const workload = encodeURIComponent(argument(input, 0));
    const rest = argument(input, 1).replace(/^\//, "");
    return readBody(tool, input)
      .andThen((body) =>
        sendAsTeam(tool, input, {
          method: option(input, "method") ?? (body ? "POST" : "GET"),
          path: `/v1/request/${workload}/${rest}`,
          headers: headersOf(input),
          body,
        })
      )
      .map(report);
  },
};

function headersOf(input: CommandInput): Record<string, string> {
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
  tool: ToolContext,
  input: CommandInput,
): ResultAsync<Uint8Array | undefined, ToolFailure> {
  const file = option(input, "data");
  return file === undefined ? okAsync(undefined) : tool.host.readFile(file);
}

function report(response: InstanceResponse): Report {
  const { status, headers } = response;
  const body = Buffer.from(response.body);
  return {
    json: { status, headers, body: body.toString("base64") },
    text: "",
    bytes: response.body,
  };
}
