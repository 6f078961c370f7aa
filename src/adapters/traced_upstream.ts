/**
 * A span for each call that starts something on a worker.
 *
 * @module
 */
import { SpanKind } from "@opentelemetry/api";
import { type Result, ResultAsync } from "neverthrow";
import type { WorkerFailure } from "../errors.ts";
import type {
  Report,
  TaskStart,
  Upstream,
  UpstreamRequest,
} from "../ports/upstream.ts";
import { type Carrier, traced } from "../tracing.ts";
import type { Answer } from "../types.ts";

/** Adds spans to an upstream; the worker receives the context of its call. */
export class TracedUpstream implements Upstream {
  readonly #upstream: Upstream;

  constructor(upstream: Upstream) {
    this.#upstream = upstream;
  }

  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure> {
    const hop = { name: "upstream", address, carrier: request.headers };
    return spanned(hop, (outgoing) => {
      const headers = { ...request.headers, ...outgoing };
      return this.#upstream.request(address, { ...request, headers });
    });
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const hop = { name: "task.start", address, carrier: {} };
    return spanned(hop, () => this.#upstream.start(address, start));
  }

  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure> {
    return this.#upstream.renew(address, fence, attempts);
  }

  stop(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): ResultAsync<void, WorkerFailure> {
    const hop = { name: "task.stop", address, carrier: {} };
    return spanned(hop, () => this.#upstream.stop(address, attempt, options));
  }

  throttle(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure> {
    return this.#upstream.throttle(address, attempt, options);
  }

  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure> {
    return this.#upstream.forget(address, attempts);
  }

  report(address: string): ResultAsync<Report, WorkerFailure> {
    return this.#upstream.report(address);
  }

  close(): Promise<void> {
    return this.#upstream.close();
  }
}

function spanned<T>(
  hop: {
    readonly name: string;
    readonly address: string;
    readonly carrier: Readonly<Carrier>;
  },
  call: (outgoing: Carrier) => ResultAsync<T, WorkerFailure>,
): ResultAsync<T, WorkerFailure> {
  const { name, address, carrier } = hop;
  const attributes = { address };
  const kind = SpanKind.CLIENT;
  const result = traced(
    name,
    { carrier, attributes, kind },
    async (outgoing, span): Promise<Result<T, WorkerFailure>> => {
      const answer = await call(outgoing);
      if (answer.isErr()) span.setAttribute("failure", answer.error.type);
      return answer;
    },
  );
  return new ResultAsync(result);
}
