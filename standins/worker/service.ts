/**
 * The service on a worker: answers every request with an echo of it.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { readBody } from "../common/endpoint.ts";
import type { Faults } from "./faults.ts";
import {
  type Record,
  type RequestEnd,
  type RequestEntry,
  wallClockMs,
} from "./record.ts";
import type { Resources, Usage } from "./usage.ts";

/** What the service works with. */
export interface ServiceOptions {
  readonly worker: string;
  readonly record: Record;
  readonly usage: Usage;
  readonly faults: Faults;
  /** What one request takes. */
  readonly resources: Resources;
  /** Service time of a request that does not say. */
  readonly sampleMs: () => number;
  /** Whether the connection of the request has gone silent. */
  readonly isSilent: (request: IncomingMessage) => boolean;
}

/** Largest number of bytes that a request may ask the answer to be padded with. */
const MAX_PADDING_BYTES = 64 * 1024 * 1024;

/** Answers requests. */
export class Service {
  readonly #options: ServiceOptions;
  #running = 0;

  constructor(options: ServiceOptions) {
    this.#options = options;
  }

  /** Requests being worked on now. */
  get running(): number {
    return this.#running;
  }

  /** Works on a request to its end, even if the client goes away. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { record, faults } = this.#options;
    const body = await readBody(request);
    const entry = entryOf(request, faults.leaving);
    record.requestStarted(entry);
    if (faults.leaving && faults.refuseRequests) {
      refuseAsLeaving(response);
      return finish(entry, "refused");
    }
    await this.#work(request, body);
    finish(entry, this.#send(request, response, body));
  }

  async #work(request: IncomingMessage, body: Buffer): Promise<void> {
    const { usage, resources, faults, sampleMs } = this.#options;
    usage.take(resources);
    this.#running += 1;
    try {
      const askedMs = workMs(request, body) ?? sampleMs();
      if (!faults.failing) await delay(askedMs * faults.slow);
    } finally {
      this.#running -= 1;
      usage.release(resources);
    }
  }

  #send(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): RequestEnd {
    const { faults, isSilent } = this.#options;
    if (isSilent(request)) return "silent";
    if (response.destroyed) return "clientGone";
    const failing = faults.failing;
    const answer = this.#echo(request, body);
    response.writeHead(failing ? 500 : 200, this.#headers(request, answer));
    if (faults.truncateAnswer()) {
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
    const requestId = headerOf(request, "x-request-id");
    return {
      "content-type": "application/json",
      "content-length": answer.length,
      "x-worker": this.#options.worker,
      ...(requestId === undefined ? {} : { "x-request-id": requestId }),
      ...(this.#options.faults.leaving ? { "x-leaving": "1" } : {}),
    };
  }

  #echo(request: IncomingMessage, body: Buffer): Buffer {
    const padding = Number(headerOf(request, "x-padding-bytes") ?? 0);
    return Buffer.from(JSON.stringify({
      worker: this.#options.worker,
      requestId: headerOf(request, "x-request-id"),
      method: request.method,
      path: request.url,
      body: body.toString("base64"),
      padding: "x".repeat(Math.min(padding, MAX_PADDING_BYTES)),
    }));
  }
}

/** Says that the worker is leaving and has run nothing. */
export function refuseAsLeaving(response: ServerResponse): void {
  response.writeHead(503, { "x-leaving": "1", "content-length": 0 });
  response.end();
}

/** One value of a header. */
export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function entryOf(request: IncomingMessage, leaving: boolean): RequestEntry {
  return {
    requestId: headerOf(request, "x-request-id"),
    idempotencyKey: headerOf(request, "idempotency-key"),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    startedAtMs: wallClockMs(),
    leaving,
  };
}

function finish(entry: RequestEntry, end: RequestEnd): void {
  entry.endedAtMs = wallClockMs();
  entry.end = end;
}

function workMs(request: IncomingMessage, body: Buffer): number | undefined {
  const header = headerOf(request, "x-work-ms");
  if (header !== undefined) return Number(header);
  if (body[0] !== "{".charCodeAt(0)) return undefined;
  try {
    const { workMs } = JSON.parse(body.toString("utf8"));
    return typeof workMs === "number" ? workMs : undefined;
  } catch {
    return undefined;
  }
}
