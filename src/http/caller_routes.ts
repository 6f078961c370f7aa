/**
 * HTTP routes for callers' requests to services.
 *
 * @module
 */
import { SpanKind } from "@opentelemetry/api";
import type { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endToEndHeaders } from "../adapters/headers.ts";
import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Exchange, Next } from "../filters/chain.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import { withSpan } from "../tracing.ts";
import type { Outcome, Reason } from "../types.ts";
import { sendFailure, sendOutcome } from "./answers.ts";
import { type BodyFailure, type BodyMemory } from "./bodies.ts";
import type { Route, RouteCall } from "./routes.ts";

/** Suggested retry delay while the bodies of other requests take all the memory. */
const OVERLOAD_RETRY_DELAY_MS = 1_000;

/** Dependencies of the routes. */
export interface CallerRoutesOptions {
  /** The filter chain. */
  readonly handle: Next;
  /** Called with the request's id when a caller disconnects before its answer. */
  readonly abandon: (id: string) => void;
  /** Whether a workload is configured; other names must not become metric labels. */
  readonly isConfigured: (workload: string) => boolean;
  readonly bodies: BodyMemory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Creates the routes on which callers send requests to services. */
export function callerRoutes(options: CallerRoutesOptions): readonly Route[] {
  return [{
    method: "*",
    pattern: "/v1/request/:workload/*path",
    answer: (call) => serveCall(options, call),
  }, {
    method: "*",
    pattern: "/v1/request/:workload",
    answer: (call) => serveCall(options, call),
  }];
}

/** Key in the `Authorization: Bearer` header; `undefined` if there is none. */
export function presentedKey(message: IncomingMessage): string | undefined {
  const header = message.headers.authorization ?? "";
  const found = /^Bearer (\S+)$/i.exec(header);
  return found?.[1];
}

/** Answers a request whose body could not be read. */
export function sendBodyFailure(
  response: ServerResponse,
  failure: BodyFailure,
): void {
  response.setHeader("connection", "close");
  switch (failure.type) {
    case "tooSlow":
    case "callerGone":
      response.destroy();
      return;
    case "overloaded":
      return sendFailure(response, {
        type: "notRun",
        reason: { type: "overloaded" },
        retryAfterMs: OVERLOAD_RETRY_DELAY_MS,
      });
    case "tooLarge": {
      const { limitBytes } = failure;
      const reason: Reason = { type: "tooLarge", limitBytes };
      return sendFailure(response, { type: "notRun", reason });
    }
    default:
      return assertNever(failure);
  }
}

async function serveCall(
  options: CallerRoutesOptions,
  call: RouteCall,
): Promise<void> {
  const { bodies, clock } = options;
  const arrivedAtMs = clock.monotonic();
  const body = await bodies.read(call.message);
  if (body.isErr()) return sendBodyFailure(call.response, body.error);
  try {
    const exchange = exchangeOf(call, {
      body: body.value.bytes,
      arrivedAtMs,
    });
    await serveExchange(options, { call, exchange });
  } finally {
    body.value.free();
  }
}

async function serveExchange(
  options: CallerRoutesOptions,
  { call, exchange }: {
    readonly call: RouteCall;
    readonly exchange: Exchange;
  },
): Promise<void> {
  const { response } = call;
  if (response.closed) return;
  const onDisconnect = () => options.abandon(exchange.id);
  response.once("close", onDisconnect);
  const outcome = await runTraced(options, exchange);
  response.off("close", onDisconnect);
  recordOutcome(options, exchange, outcome);
  sendOutcome(response, outcome);
}

function runTraced(
  options: CallerRoutesOptions,
  exchange: Exchange,
): Promise<Outcome> {
  const { workload, headers, id } = exchange;
  const attributes = { workload, id };
  const trace = { carrier: headers, attributes, kind: SpanKind.SERVER };
  return withSpan("request", trace, async (outgoing, span) => {
    const tracedHeaders = {
      ...headers,
      ...outgoing,
      "zinniapoint-request": id,
    };
    const outcome = await options.handle({
      ...exchange,
      headers: tracedHeaders,
    });
    span.setAttributes({ outcome: outcome.type, reason: reasonOf(outcome) });
    return outcome;
  });
}

function reasonOf(outcome: Outcome): Reason["type"] {
  return outcome.type === "done" ? "placed" : outcome.reason.type;
}

function recordOutcome(
  { clock, isConfigured, log, metrics }: CallerRoutesOptions,
  exchange: Exchange,
  outcome: Outcome,
): void {
  const { workload, id, arrivedAtMs } = exchange;
  const tookMs = clock.monotonic() - arrivedAtMs;
  const labels = { workload: isConfigured(workload) ? workload : "" };
  metrics.count("requests_total", { ...labels, outcome: outcome.type });
  metrics.observe("request_milliseconds", tookMs, labels);
  log.info("request", {
    id,
    workload,
    outcome: outcome.type,
    reason: reasonOf(outcome),
    worker: outcome.type === "done" ? outcome.answer.worker : undefined,
    took_ms: tookMs.toFixed(1),
  });
}

function exchangeOf(
  { message, response, url, parts }: RouteCall,
  { body, arrivedAtMs }: {
    readonly body: Buffer;
    readonly arrivedAtMs: number;
  },
): Exchange {
  return {
    id: randomUUID(),
    workload: parts.workload ?? "",
    method: message.method ?? "GET",
    path: `/${parts.path ?? ""}${url.search}`,
    headers: headersToPassOn(message),
    body: body.toString("base64"),
    key: presentedKey(message),
    arrivedAtMs,
    abandoned: () => response.closed,
  };
}

/** Headers to pass on to the worker, without the caller's key. */
function headersToPassOn(message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (value === undefined || name === "authorization") continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return endToEndHeaders(headers);
}
