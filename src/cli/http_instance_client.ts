/**
 * Sends requests to instances over HTTP. If an instance cannot be reached, the
 * next one is tried; if its response is lost, only for an idempotent request.
 *
 * @module
 */
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import { type ToolFailure, usageFailure } from "./failures.ts";
import type {
  InstanceClient,
  InstanceRequest,
  InstanceResponse,
} from "./tool.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const RESPONSE_TIMEOUT_MS = 60_000;

/** Error codes that occur before any byte of the request is sent. */
const UNSENT_ERROR_CODES: readonly unknown[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Client of the instances, or load balancers, at the given `host:port` addresses. */
export class HttpInstanceClient implements InstanceClient {
  readonly #addresses: readonly string[];
  /** Keeps the connections to all addresses. */
  readonly #httpAgent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
  }

  send(
    instanceRequest: InstanceRequest,
  ): ResultAsync<InstanceResponse, ToolFailure> {
    if (this.#addresses.length === 0) {
      return errAsync(
        usageFailure("no instances: set instances in [operator]"),
      );
    }
    return new ResultAsync(this.#sendToAny(instanceRequest));
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#httpAgent.close();
  }

  async #sendToAny(
    instanceRequest: InstanceRequest,
  ): Promise<Result<InstanceResponse, ToolFailure>> {
    let last: Result<InstanceResponse, ToolFailure> = err(noInstance);
    for (const address of this.#addresses) {
      last = await this.#sendTo(address, instanceRequest);
      if (last.isOk() || !mayTryNext(last.error, instanceRequest)) return last;
    }
    return last;
  }

  async #sendTo(
    address: string,
    instanceRequest: InstanceRequest,
  ): Promise<Result<InstanceResponse, ToolFailure>> {
    const { method, path, key, headers, body } = instanceRequest;
    const timeoutMs = instanceRequest.timeoutMs ?? RESPONSE_TIMEOUT_MS;
    const authorization = key === undefined
      ? {}
      : { authorization: `Bearer ${key}` };
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headers: { ...headers, ...authorization },
        body,
        dispatcher: this.#httpAgent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const bytes = new Uint8Array(await response.body.arrayBuffer());
      return ok({
        status: response.statusCode,
        headers: flatten(response.headers),
        body: bytes,
      });
    } catch (error) {
      return err(failureOf(error, address));
    }
  }
}

const noInstance: ToolFailure = {
  type: "instanceUnreachable",
  message: "no instance could be reached",
};

/** Whether a failed request may be sent to another instance without taking effect twice. */
function mayTryNext(
  failure: ToolFailure,
  instanceRequest: InstanceRequest,
): boolean {
  return failure.type === "instanceUnreachable" ||
    instanceRequest.idempotent === true;
}

function failureOf(error: unknown, address: string): ToolFailure {
  const code = (error as { code?: unknown }).code;
  if (UNSENT_ERROR_CODES.includes(code)) {
    const message = `instance ${address} cannot be reached (${code})`;
    return { type: "instanceUnreachable", message };
  }
  const message = `instance ${address} sent no complete response (${code})`;
  return { type: "instanceSilent", message };
}

function flatten(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map((
      [name, value],
    ) => [name, Array.isArray(value) ? value.join(", ") : value ?? ""]),
  );
}
