/**
 * Workers over HTTP: their service and the platform's agent on them.
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
import { EmptyAnswer, RenewAnswer, ReportAnswer } from "./agent_messages.ts";
import { decodeJson } from "./decoding.ts";
import type { WholeAnswer } from "./exchange.ts";
import { endToEndHeaders } from "./headers.ts";
import { WorkerConnections } from "./worker_connections.ts";
import {
  agentFailure,
  isLeaving,
  leavingFailure,
  unansweredFailure,
} from "./worker_failures.ts";

/** Settings of the adapter. */
export interface HttpUpstreamOptions {
  readonly clock: Clock;
  /** Most connections to the service of one worker. */
  readonly requestConnections?: number;
  /** Most connections to the agent of one worker. */
  readonly agentConnections?: number;
  readonly connectTimeoutMs?: number;
  /** Time without progress after which a call to the agent is given up. */
  readonly agentTimeoutMs?: number;
  /** Time after which an unused connection is closed. */
  readonly idleTimeoutMs?: number;
  readonly maxAnswerBytes?: number;
}

const DEFAULTS = {
  requestConnections: 6,
  agentConnections: 1,
  connectTimeoutMs: 1000,
  agentTimeoutMs: 2000,
  idleTimeoutMs: 4000,
  maxAnswerBytes: 8 * 1024 * 1024,
} as const;

const AGENT_PATH = "/zp-agent/v1";
const OK_STATUS = 200;

/** Access to all workers from one process. Sends every call once. */
export class HttpUpstream implements Upstream {
  readonly #services: WorkerConnections;
  readonly #agents: WorkerConnections;
  readonly #agentTimeoutMs: number;

  constructor(options: HttpUpstreamOptions) {
    const { requestConnections, agentConnections, ...shared } = {
      ...DEFAULTS,
      ...options,
    };
    this.#agentTimeoutMs = shared.agentTimeoutMs;
    this.#services = new WorkerConnections({
      ...shared,
      limit: requestConnections,
    });
    this.#agents = new WorkerConnections({
      ...shared,
      limit: agentConnections,
    });
  }

  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure> {
    const sent = {
      method: request.method,
      path: request.path,
      headers: endToEndHeaders(request.headers),
      body: Buffer.from(request.body, "base64"),
    };
    return this.#services.to(address).send(sent, request.timeoutMs)
      .mapErr(unansweredFailure)
      .andThen(answerOf);
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const { attempt, ...message } = start;
    const path = taskPath(attempt);
    return this.#call(address, { method: "PUT", path, message }, EmptyAnswer)
      .map(nothing);
  }

  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure> {
    const call = post("/renew", { fence, attempts });
    return this.#call(address, call, RenewAnswer).map(({ missing }) => missing);
  }

  stop(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): ResultAsync<void, WorkerFailure> {
    const call = post(`${taskPath(attempt)}/stop`, options);
    return this.#call(address, call, EmptyAnswer).map(nothing);
  }

  throttle(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure> {
    const call = post(`${taskPath(attempt)}/throttle`, options);
    return this.#call(address, call, EmptyAnswer).map(nothing);
  }

  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure> {
    const call = post("/forget", { attempts });
    return this.#call(address, call, EmptyAnswer).map(nothing);
  }

  report(address: string): ResultAsync<Report, WorkerFailure> {
    const call: AgentCall = { method: "GET", path: "/report" };
    return this.#call(address, call, ReportAnswer);
  }

  async close(): Promise<void> {
    await Promise.all([this.#services.close(), this.#agents.close()]);
  }

  #call<A>(
    address: string,
    call: AgentCall,
    codec: t.Decoder<unknown, A>,
  ): ResultAsync<A, WorkerFailure> {
    const request = {
      method: call.method,
      path: `${AGENT_PATH}${call.path}`,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(call.message ?? {})),
    };
    return this.#agents.to(address).send(request, this.#agentTimeoutMs)
      .mapErr(unansweredFailure)
      .andThen((answer) => decodeAnswer(answer, codec));
  }
}

interface AgentCall {
  readonly method: "GET" | "PUT" | "POST";
  readonly path: string;
  readonly message?: unknown;
}

function post(path: string, message: unknown): AgentCall {
  return { method: "POST", path, message };
}

function taskPath(attempt: string): string {
  return `/tasks/${encodeURIComponent(attempt)}`;
}

function nothing(): void {}

function answerOf(
  answer: WholeAnswer,
): Result<Omit<Answer, "worker">, WorkerFailure> {
  if (isLeaving(answer)) return err(leavingFailure());
  return ok({
    status: answer.status,
    headers: endToEndHeaders(answer.headers),
    body: answer.body.toString("base64"),
  });
}

function decodeAnswer<A>(
  answer: WholeAnswer,
  codec: t.Decoder<unknown, A>,
): Result<A, WorkerFailure> {
  if (answer.status !== OK_STATUS) return err(agentFailure(answer));
  return decodeJson(codec, answer.body).mapErr(({ message }) => ({
    type: "workerSilent",
    message,
  }));
}
