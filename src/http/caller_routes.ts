/**
 * Routes for callers' requests.
 *
 * @module
 */
import { SpanKind } from "@opentelemetry/api";
import type { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endToEndHeaders } from "../adapters/headers.ts";
import type { Clock } from "../clock.ts";
import type { Exchange, Next } from "../filters/chain.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import { withSpan } from "../tracing.ts";
import type { Outcome, Reason } from "../types.ts";
import { sendFailure, sendOutcome } from "./answers.ts";
import { type BodyFailure, type BodyMemory } from "./bodies.ts";
import type { Route, RouteCall } from "./routes.ts";

/** What the routes need. */
export interface CallerRoutesOptions {
  /** The filter chain. */
  readonly handle: Next;
  /** Told when a caller goes away before its answer. */
  readonly abandon: (id: string) => void;
  /** Whether the operators have named a workload. */
  readonly knows: (workload: string) => boolean;
  readonly bodies: BodyMemory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Routes on which callers send requests to services. */
export function callerRoutes(options: CallerRoutesOptions): readonly Route[] {
  return [{
    method: "*",
    pattern: "/v1/request/:workload/*path",
    answer: (call) => serve(options, call),
  }, {
    method: "*",
    pattern: "/v1/request/:workload",
    answer: (call) => serve(options, call),
  }];
}

/** The key that a caller presents; `undefined` if there is none. */
export function presentedKey(message: IncomingMessage): string | undefined {
  const header = message.headers.authorization ?? "";
  const found = /^Bearer (\S+)$/i.exec(header);
  return found?.[1];
}

/** Answers that a body could not be read. */
export function refuseBody(
  response: ServerResponse,
  failure: BodyFailure,
): void {
  if (failure.type === "callerGone") {
    response.destroy();
    return;
  }
  const { limitBytes } = failure;
  response.setHeader("connection", "close");
  sendFailure(response, {
    type: "notRun",
    reason: { type: "tooLarge", limitBytes },
  });
}

async function serve(
  options: CallerRoutesOptions,
  call: RouteCall,
): Promise<void> {
  const { bodies, clock } = options;
  const arrivedAtMs = clock.monotonic();
  const body = await bodies.read(call.message);
  if (body.isErr()) return refuseBody(call.response, body.error);
  try {
    const exchange = exchangeOf(call, { body: body.value, arrivedAtMs });
    await serveExchange(options, { call, exchange });
  } finally {
    bodies.free(body.value.length);
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
  const watch = () => options.abandon(exchange.id);
  response.once("close", watch);
  const outcome = await answer(options, exchange);
  response.off("close", watch);
  record(options, exchange, outcome);
  sendOutcome(response, outcome);
}

function answer(
  options: CallerRoutesOptions,
  exchange: Exchange,
): Promise<Outcome> {
  const { workload, headers, id } = exchange;
  const attributes = { workload, id };
  const hop = { carrier: headers, attributes, kind: SpanKind.SERVER };
  return withSpan("request", hop, async (outgoing, span) => {
    const carried = { ...headers, ...outgoing, "zinniapoint-request": id };
    const outcome = await options.handle({ ...exchange, headers: carried });
    span.setAttributes({ outcome: outcome.type, reason: reasonOf(outcome) });
    return outcome;
  });
}

function reasonOf(outcome: Outcome): Reason["type"] {
  return outcome.type === "done" ? "placed" : outcome.reason.type;
}

function record(
  { clock, knows, log, metrics }: CallerRoutesOptions,
  exchange: Exchange,
  outcome: Outcome,
): void {
  const { workload, id, arrivedAtMs } = exchange;
  const tookMs = clock.monotonic() - arrivedAtMs;
  const labels = { workload: knows(workload) ? workload : "" };
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
    headers: passedOn(message),
    body: body.toString("base64"),
    key: presentedKey(message),
    arrivedAtMs,
    abandoned: () => response.closed,
  };
}

/** Headers that go on to the worker; the key stays here. */
function passedOn(message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(message.headers)) {
    if (value === undefined || name === "authorization") continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return endToEndHeaders(headers);
}
