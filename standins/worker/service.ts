/**
 * HTTP service of a worker: answers each request with an echo of it after a
 * simulated duration.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { readBody } from "../common/endpoint.ts";
import type { Faults } from "./faults.ts";
import {
  type ActivityRecord,
  type RequestEntry,
  type RequestOutcome,
  wallClockMs,
} from "./record.ts";
import type { Resources, Usage } from "./usage.ts";

/** Options of the service. */
export interface ServiceOptions {
  readonly worker: string;
  readonly record: ActivityRecord;
  readonly usage: Usage;
  readonly faults: Faults;
  /** Resources that each request uses. */
  readonly resources: Resources;
  /** Draws the duration, milliseconds, of a request that does not state its own. */
  readonly sampleMs: () => number;
  /** Whether the request's connection is under the `silent` fault. */
  readonly isSilent: (request: IncomingMessage) => boolean;
}

/** Upper bound on the padding that a request can ask for with `x-padding-bytes`. */
const MAX_PADDING_BYTES = 64 * 1024 * 1024;

/** Handles the requests of one worker. */
export class Service {
  readonly #options: ServiceOptions;
  #running = 0;

  constructor(options: ServiceOptions) {
    this.#options = options;
  }

  /** Number of requests in progress. */
  get running(): number {
    return this.#running;
  }

  /** Handles a request to completion, even if the client disconnects. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { record, faults } = this.#options;
    const body = await readBody(request);
    const entry = createEntry(request, faults.leaving);
    record.addRequest(entry);
    if (faults.leaving && faults.refuseRequests) {
      sendLeavingRefusal(response);
      return completeEntry(entry, "refused");
    }
    await this.#simulateWork(request, body);
    completeEntry(entry, this.#send(request, response, body));
  }

  async #simulateWork(request: IncomingMessage, body: Buffer): Promise<void> {
    const { usage, resources, faults, sampleMs } = this.#options;
    usage.allocate(resources);
    this.#running += 1;
    try {
      const requestedMs = requestedWorkMs(request, body) ?? sampleMs();
      if (!faults.failing) await delay(requestedMs * faults.slow);
    } finally {
      this.#running -= 1;
      usage.release(resources);
    }
  }

  #send(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): RequestOutcome {
    const { faults, isSilent } = this.#options;
    if (isSilent(request)) return "silent";
    if (response.destroyed) return "clientGone";
    const failing = faults.failing;
    const answer = this.#echo(request, body);
    response.writeHead(failing ? 500 : 200, this.#headers(request, answer));
    if (faults.shouldTruncateResponse()) {
      response.write(answer.subarray(0, answer.length / 2), () => {
        response.destroy();
      });
      return "truncated";
    }
    response.end(answer);
    return failing ? "failed" : "answered";
  }

  #headers(
    request: IncomingMessage,
    answer: Buffer,
  ): { [name: string]: string | number } {
    const requestId = firstHeaderValue(request, "x-request-id");
    return {
      "content-type": "application/json",
      "content-length": answer.length,
      "x-worker": this.#options.worker,
      ...(requestId === undefined ? {} : { "x-request-id": requestId }),
      ...(this.#options.faults.leaving ? { "x-leaving": "1" } : {}),
    };
  }

  #echo(request: IncomingMessage, body: Buffer): Buffer {
    const padding = Number(firstHeaderValue(request, "x-padding-bytes") ?? 0);
    return Buffer.from(JSON.stringify({
      worker: this.#options.worker,
      requestId: firstHeaderValue(request, "x-request-id"),
      method: request.method,
      path: request.url,
      body: body.toString("base64"),
      padding: "x".repeat(Math.min(padding, MAX_PADDING_BYTES)),
    }));
  }
}

/** Responds with status 503 and `x-leaving`: the worker is leaving and has not run the request. */
export function sendLeavingRefusal(response: ServerResponse): void {
  response.writeHead(503, { "x-leaving": "1", "content-length": 0 });
  response.end();
}

/** Value of a header; the first one if it occurs several times. */
export function firstHeaderValue(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function createEntry(request: IncomingMessage, leaving: boolean): RequestEntry {
  return {
    requestId: firstHeaderValue(request, "x-request-id"),
    idempotencyKey: firstHeaderValue(request, "idempotency-key"),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    startedAtMs: wallClockMs(),
    leaving,
  };
}

function completeEntry(entry: RequestEntry, end: RequestOutcome): void {
  entry.endedAtMs = wallClockMs();
  entry.end = end;
}

function requestedWorkMs(
  request: IncomingMessage,
  body: Buffer,
): number | undefined {
  const header = firstHeaderValue(request, "x-work-ms");
  if (header !== undefined) return Number(header);
  if (body[0] !== "{".charCodeAt(0)) return undefined;
  try {
    const { workMs } = JSON.parse(body.toString("utf8"));
    return typeof workMs === "number" ? workMs : undefined;
  } catch {
    return undefined;
  }
}
