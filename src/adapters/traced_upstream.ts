/**
 * Client spans for requests to workers and for starts and stops of tasks.
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
import { type Carrier, withSpan } from "../tracing.ts";
import type { Answer } from "../types.ts";

/** Adds client spans to an upstream. Requests carry the trace context to the worker in their headers. */
export class TracedUpstream implements Upstream {
  readonly #upstream: Upstream;

  constructor(upstream: Upstream) {
    this.#upstream = upstream;
  }

  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure> {
    const span = { name: "upstream", address, carrier: request.headers };
    return withClientSpan(span, (spanHeaders) => {
      const headers = { ...request.headers, ...spanHeaders };
      return this.#upstream.request(address, { ...request, headers });
    });
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const span = { name: "task.start", address, carrier: {} };
    return withClientSpan(span, () => this.#upstream.start(address, start));
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
    const span = { name: "task.stop", address, carrier: {} };
    return withClientSpan(
      span,
      () => this.#upstream.stop(address, attempt, options),
    );
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

function withClientSpan<T>(
  options: {
    readonly name: string;
    readonly address: string;
    readonly carrier: Readonly<Carrier>;
  },
  call: (spanCarrier: Carrier) => ResultAsync<T, WorkerFailure>,
): ResultAsync<T, WorkerFailure> {
  const { name, address, carrier } = options;
  const attributes = { address };
  const kind = SpanKind.CLIENT;
  const result = withSpan(
    name,
    { carrier, attributes, kind },
    async (spanCarrier, span): Promise<Result<T, WorkerFailure>> => {
      const outcome = await call(spanCarrier);
      if (outcome.isErr()) span.setAttribute("failure", outcome.error.type);
      return outcome;
    },
  );
  return new ResultAsync(result);
}
