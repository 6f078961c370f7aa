/**
 * HTTP client for workers: for their services and for the platform's agent
 * that runs on each of them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as t from "io-ts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { WorkerFailure } from "../errors.ts";
import type {
  Report,
  TaskStart,
  Upstream,
  UpstreamRequest,
} from "../ports/upstream.ts";
import type { Answer } from "../types.ts";
import {
  EmptyResponse,
  RenewResponse,
  ReportResponse,
} from "./agent_messages.ts";
import { decodeJson } from "./decoding.ts";
import type { CompleteResponse } from "./exchange.ts";
import { endToEndHeaders } from "./headers.ts";
import { WorkerConnectionPools } from "./worker_connection_pools.ts";
import {
  agentFailure,
  isLeavingResponse,
  leavingFailure,
  noResponseFailure,
} from "./worker_failures.ts";

/** Options of an {@linkcode HttpUpstream}. */
export interface HttpUpstreamOptions {
  readonly clock: Clock;
  /** Maximum number of connections to the service of one worker. */
  readonly requestConnections?: number;
  /** Maximum number of connections to the agent of one worker. */
  readonly agentConnections?: number;
  readonly connectTimeoutMs?: number;
  /** Milliseconds without progress after which a call to the agent fails. */
  readonly agentTimeoutMs?: number;
  /** Milliseconds after which an idle connection is closed. */
  readonly idleTimeoutMs?: number;
  readonly maxResponseBytes?: number;
}

const DEFAULTS = {
  requestConnections: 6,
  agentConnections: 1,
  connectTimeoutMs: 1000,
  agentTimeoutMs: 2000,
  idleTimeoutMs: 4000,
  maxResponseBytes: 8 * 1024 * 1024,
} as const;

const AGENT_PATH = "/zp-agent/v1";
const OK_STATUS = 200;

/** Client for all workers. Sends every request at most once and never retries. */
export class HttpUpstream implements Upstream {
  readonly #servicePools: WorkerConnectionPools;
  readonly #agentPools: WorkerConnectionPools;
  readonly #agentTimeoutMs: number;

  constructor(options: HttpUpstreamOptions) {
    const { requestConnections, agentConnections, ...shared } = {
      ...DEFAULTS,
      ...options,
    };
    this.#agentTimeoutMs = shared.agentTimeoutMs;
    this.#servicePools = new WorkerConnectionPools({
      ...shared,
      maxConnections: requestConnections,
    });
    this.#agentPools = new WorkerConnectionPools({
      ...shared,
      maxConnections: agentConnections,
    });
  }

  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure> {
    const outgoing = {
      method: request.method,
      path: request.path,
      headers: endToEndHeaders(request.headers),
      body: Buffer.from(request.body, "base64"),
    };
    return this.#servicePools.poolFor(address).send(outgoing, request.timeoutMs)
      .mapErr(noResponseFailure)
      .andThen(serviceResponse);
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const { attempt, ...message } = start;
    const path = agentTaskPath(attempt);
    return this.#callAgent(
      address,
      { method: "PUT", path, body: message },
      EmptyResponse,
    )
      .map(discardResult);
  }

  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure> {
    const call = postRequest("/renew", { fence, attempts });
    return this.#callAgent(address, call, RenewResponse).map(({ missing }) =>
      missing
    );
  }

  stop(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): ResultAsync<void, WorkerFailure> {
    const call = postRequest(`${agentTaskPath(attempt)}/stop`, options);
    return this.#callAgent(address, call, EmptyResponse).map(discardResult);
  }

  throttle(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure> {
    const call = postRequest(`${agentTaskPath(attempt)}/throttle`, options);
    return this.#callAgent(address, call, EmptyResponse).map(discardResult);
  }

  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure> {
    const call = postRequest("/forget", { attempts });
    return this.#callAgent(address, call, EmptyResponse).map(discardResult);
  }

  report(address: string): ResultAsync<Report, WorkerFailure> {
    const call: AgentRequest = { method: "GET", path: "/report" };
    return this.#callAgent(address, call, ReportResponse);
  }

  async close(): Promise<void> {
    await Promise.all([
      this.#servicePools.close(),
      this.#agentPools.close(),
    ]);
  }

  #callAgent<A>(
    address: string,
    call: AgentRequest,
    codec: t.Decoder<unknown, A>,
  ): ResultAsync<A, WorkerFailure> {
    const request = {
      method: call.method,
      path: `${AGENT_PATH}${call.path}`,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(call.body ?? {})),
    };
    return this.#agentPools.poolFor(address).send(request, this.#agentTimeoutMs)
      .mapErr(noResponseFailure)
      .andThen((response) => decodeAgentResponse(response, codec));
  }
}

interface AgentRequest {
  readonly method: "GET" | "PUT" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

function postRequest(path: string, message: unknown): AgentRequest {
  return { method: "POST", path, body: message };
}

function agentTaskPath(attempt: string): string {
  return `/tasks/${encodeURIComponent(attempt)}`;
}

function discardResult(): void {}

function serviceResponse(
  response: CompleteResponse,
): Result<Omit<Answer, "worker">, WorkerFailure> {
  if (isLeavingResponse(response)) return err(leavingFailure());
  return ok({
    status: response.status,
    headers: endToEndHeaders(response.headers),
    body: response.body.toString("base64"),
  });
}

function decodeAgentResponse<A>(
  response: CompleteResponse,
  codec: t.Decoder<unknown, A>,
): Result<A, WorkerFailure> {
  if (response.status !== OK_STATUS) return err(agentFailure(response));
  return decodeJson(codec, response.body).mapErr(({ message }) => ({
    type: "workerSilent",
    message,
  }));
}
