/**
 * Sends one HTTP request over one connection. The result is the complete
 * response, or a failure that says whether the request may have been received.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import type { Clock } from "../clock.ts";
import { InactivityTimeout } from "./inactivity_timeout.ts";

/** An HTTP request. */
export interface ExchangeRequest {
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

/** A response whose body has been received completely. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Why there is no complete response. */
export type ExchangeFailure =
  /** No byte of the request was sent. */
  | { readonly type: "notSent"; readonly message: string }
  /** The connection failed or the response was incomplete; the request may have been received. */
  | { readonly type: "answerLost"; readonly message: string }
  /** The request was started, but then the connection made no progress before the timeout. */
  | { readonly type: "silent"; readonly message: string }
  /** The response body exceeds the size limit. */
  | {
    readonly type: "answerTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  };

/** Limits of an exchange. */
export interface ExchangeOptions {
  readonly clock: Clock;
  /** Milliseconds without progress after which the exchange fails. */
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
}

type ResultCallback = (
  outcome: Result<CompleteResponse, ExchangeFailure>,
) => void;

/** Sends a request at most once and waits for the complete response. Never rejects. */
export function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  options: ExchangeOptions,
): Promise<Result<CompleteResponse, ExchangeFailure>> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(request, { ...options, resolve });
    dispatcher.dispatch(undiciOptions(request), handler);
  });
}

/** Converts a request to undici's options. Its own timeouts are off: the handlers use {@linkcode InactivityTimeout}. */
export function undiciOptions(
  request: ExchangeRequest,
): Dispatcher.DispatchOptions {
  return {
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: request.headers,
    body: request.body ?? null,
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/** Thrown to undici to prevent it from sending a request; undici passes it to `onResponseError`. */
class RequestNotSentError extends Error {
  readonly type = "sendRefusal";
}

/** Joins repeated headers into one comma-separated value per name. */
export function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const flattened: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flattened[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flattened;
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #options: ExchangeOptions & { readonly resolve: ResultCallback };
  #controller: Dispatcher.DispatchController | undefined;
  readonly #inactivity: InactivityTimeout;
  #settled = false;
  #status = 0;
  #headers: Readonly<Record<string, string>> = {};
  #chunks: Buffer[] = [];
  #receivedBytes = 0;

  constructor(
    request: ExchangeRequest,
    options: ExchangeOptions & { readonly resolve: ResultCallback },
  ) {
    this.#request = request;
    this.#options = options;
    this.#inactivity = new InactivityTimeout({
      ...options,
      onTimeout: () => this.#handleTimeout(),
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#settled) throw new RequestNotSentError("timeout before sending");
    if (this.#controller !== undefined) {
      throw new RequestNotSentError("the request was already sent");
    }
    this.#controller = controller;
    this.#inactivity.restart();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#inactivity.restart();
    this.#status = status;
    this.#headers = flattenHeaders(headers);
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#inactivity.restart();
    this.#receivedBytes += chunk.length;
    this.#chunks.push(chunk);
    const limitBytes = this.#options.maxResponseBytes;
    if (this.#receivedBytes <= limitBytes) return;
    const message = `the response exceeds ${limitBytes} bytes`;
    this.#abort({ type: "answerTooLarge", message, limitBytes });
  }

  onResponseEnd(): void {
    if (!this.#hasExplicitLength()) {
      const message =
        "the response has neither Content-Length nor Transfer-Encoding";
      return this.#finish(err({ type: "answerLost", message }));
    }
    const body = Buffer.concat(this.#chunks);
    this.#finish(ok({ status: this.#status, headers: this.#headers, body }));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    const sent = this.#controller !== undefined;
    const type = sent ? "answerLost" : "notSent";
    this.#finish(err({ type, message: error.message }));
  }

  /**
   * Whether the response framing defines where the body ends. If only the
   * closed connection ends it, a truncated body cannot be detected.
   */
  #hasExplicitLength(): boolean {
    const hasNoBody = this.#status === 204 || this.#status === 304 ||
      this.#request.method === "HEAD";
    return hasNoBody || "content-length" in this.#headers ||
      "transfer-encoding" in this.#headers;
  }

  #handleTimeout(): void {
    const message = `no progress for ${this.#options.timeoutMs} ms`;
    const sent = this.#controller !== undefined;
    this.#abort({ type: sent ? "silent" : "notSent", message });
  }

  #abort(failure: ExchangeFailure): void {
    this.#finish(err(failure));
    this.#controller?.abort(new Error(failure.message));
  }

  #finish(outcome: Result<CompleteResponse, ExchangeFailure>): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#inactivity.cancel();
    this.#options.resolve(outcome);
  }
}
