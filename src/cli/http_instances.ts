/**
 * Calls of instances by HTTP, one after another until one is reached.
 *
 * @module
 */
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import { type ToolFailure, usageFailure } from "./failures.ts";
import type { InstanceAnswer, InstanceCall, Instances } from "./tool.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const ANSWER_TIMEOUT_MS = 60_000;

/** Codes of errors before the first byte of a call is sent. */
const UNSENT: readonly unknown[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Instances or balancers at `host:port`. */
export class HttpInstances implements Instances {
  readonly #addresses: readonly string[];
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
  }

  send(call: InstanceCall): ResultAsync<InstanceAnswer, ToolFailure> {
    if (this.#addresses.length === 0) {
      return errAsync(usageFailure("set instances in [operator]"));
    }
    return new ResultAsync(this.#sendToFirst(call));
  }

  /** Ends the connections. */
  close(): Promise<void> {
    return this.#agent.close();
  }

  async #sendToFirst(
    call: InstanceCall,
  ): Promise<Result<InstanceAnswer, ToolFailure>> {
    let last: Result<InstanceAnswer, ToolFailure> = err(noInstance);
    for (const address of this.#addresses) {
      last = await this.#sendTo(address, call);
      if (last.isOk() || !mayGoElsewhere(last.error, call)) return last;
    }
    return last;
  }

  async #sendTo(
    address: string,
    call: InstanceCall,
  ): Promise<Result<InstanceAnswer, ToolFailure>> {
    const { method, path, key, headers, body } = call;
    const timeoutMs = call.timeoutMs ?? ANSWER_TIMEOUT_MS;
    const authorization = key === undefined
      ? {}
      : { authorization: `Bearer ${key}` };
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        headers: { ...headers, ...authorization },
        body,
        dispatcher: this.#agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const bytes = new Uint8Array(await answer.body.arrayBuffer());
      return ok({
        status: answer.statusCode,
        headers: flatten(answer.headers),
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

/** Whether a failed call may be sent to another instance without being done twice. */
function mayGoElsewhere(failure: ToolFailure, call: InstanceCall): boolean {
  return failure.type === "instanceUnreachable" || call.idempotent === true;
}

function failureOf(error: unknown, address: string): ToolFailure {
  const code = (error as { code?: unknown }).code;
  if (UNSENT.includes(code)) {
    const message = `instance ${address} cannot be reached (${code})`;
    return { type: "instanceUnreachable", message };
  }
  const message = `instance ${address} gave no whole answer (${code})`;
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
