/**
 * HTTP client of the callers in tests.
 *
 * @module
 */
import { Agent, request } from "undici";

/** Options of a call. */
export interface CallOptions {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/** Response with its whole body. */
export interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

const DEFAULT_TIMEOUT_MS = 30_000;
const agent = new Agent({ connections: 256, pipelining: 1 });

/** Sends a request to `host:port`; rejects with undici's error if there is no response. */
export async function call(
  address: string,
  options: CallOptions,
): Promise<Reply> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const { statusCode, headers, body } = await request(
    `http://${address}${options.path}`,
    {
      method: options.method ?? "GET",
      headers: options.headers,
      body: options.body,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      dispatcher: agent,
    },
  );
  return { status: statusCode, headers, body: await body.text() };
}
