/**
 * One HTTP request over one connection, ending in a whole answer or in what
 * is known of the request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import type { Clock } from "../clock.ts";
import { ProgressDeadline } from "./progress_deadline.ts";

/** A request as it is sent. */
export interface ExchangeRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

/** An answer that has been received to its last byte. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Why there is no whole answer. */
export type ExchangeFailure =
  /** No byte of the request was sent. */
  | { readonly type: "notSent"; readonly message: string }
  /** The connection failed after bytes may have been sent. */
  | { readonly type: "answerLost"; readonly message: string }
  /** The connection made no progress in time. */
  | { readonly type: "silent"; readonly message: string }
  /** The answer is larger than allowed. */
  | {
    readonly type: "answerTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  };

/** Bounds on an exchange. */
export interface ExchangeOptions {
  readonly clock: Clock;
  /** Time without progress after which the connection is given up. */
  readonly timeoutMs: number;
  readonly maxAnswerBytes: number;
}

type Settle = (outcome: Result<WholeAnswer, ExchangeFailure>) => void;

/** Sends a request, once, and waits for the whole answer. */
export function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  options: ExchangeOptions,
): Promise<Result<WholeAnswer, ExchangeFailure>> {
  return new Promise((settle) => {
    const handler = new ExchangeHandler(request, { ...options, settle });
    dispatcher.dispatch(dispatchOptions(request), handler);
  });
}

/** The request in the form that undici takes; deadlines are the handler's. */
export function dispatchOptions(
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

/** Keeps the client from sending a request; it reaches the exchange as a failure. */
class SendRefusal extends Error {
  readonly type = "sendRefusal";
}

/** Headers with one text for each name. */
export function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #options: ExchangeOptions & { readonly settle: Settle };
  #controller: Dispatcher.DispatchController | undefined;
  readonly #deadline: ProgressDeadline;
  #settled = false;
  #status = 0;
  #headers: Readonly<Record<string, string>> = {};
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(
    request: ExchangeRequest,
    options: ExchangeOptions & { readonly settle: Settle },
  ) {
    this.#request = request;
    this.#options = options;
    this.#deadline = new ProgressDeadline({
      ...options,
      expired: () => this.#expire(),
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#settled) throw new SendRefusal("given up before it was sent");
    if (this.#controller !== undefined) {
      throw new SendRefusal("a request is never sent twice");
    }
    this.#controller = controller;
    this.#deadline.progress();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#deadline.progress();
    this.#status = status;
    this.#headers = flattenHeaders(headers);
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#deadline.progress();
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    const limitBytes = this.#options.maxAnswerBytes;
    if (this.#bytes <= limitBytes) return;
    const message = `the answer exceeds ${limitBytes} bytes`;
    this.#giveUp({ type: "answerTooLarge", message, limitBytes });
  }

  onResponseEnd(): void {
    if (!this.#isFramed()) {
      const message = "the answer does not tell its length";
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

  /** Whether the end of the answer is told by its framing, not by the end of the connection. */
  #isFramed(): boolean {
    const empty = this.#status === 204 || this.#status === 304 ||
      this.#request.method === "HEAD";
    return empty || "content-length" in this.#headers ||
      "transfer-encoding" in this.#headers;
  }

  #expire(): void {
    const message = `no progress for ${this.#options.timeoutMs} ms`;
    const sent = this.#controller !== undefined;
    this.#giveUp({ type: sent ? "silent" : "notSent", message });
  }

  #giveUp(failure: ExchangeFailure): void {
    this.#finish(err(failure));
    this.#controller?.abort(new Error(failure.message));
  }

  #finish(outcome: Result<WholeAnswer, ExchangeFailure>): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#deadline.cancel();
    this.#options.settle(outcome);
  }
}
