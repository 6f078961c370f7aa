/**
 * Load generator for urgent requests, whose callers wait for the response, and for
 * submissions of deferred work. It records every response for the checker.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { call, type Reply } from "./http.ts";
import type { TestInstance } from "./testbed.ts";
import { pause } from "./testbed.ts";

/** Result of one request as its caller saw it. */
export interface RequestResult {
  /** Unique last segment of the request's path, by which the checker finds it in the records. */
  readonly mark: string;
  readonly workload: string;
  /** Idempotency key; the request is retried once with it after an unknown outcome. Absent if none was sent. */
  readonly key?: string;
  readonly outcome:
    | "done"
    | "notRun"
    | "unknown"
    /** The connection to the instance failed or broke. */
    | "noAnswer"
    /** The response belongs to another request. */
    | "crossed";
  readonly reason?: string;
  readonly elapsedMs: number;
  /** When the request was sent, Unix milliseconds. */
  readonly atMs: number;
}

/** Acknowledged submission. */
export interface AcceptedSubmission {
  readonly id: string;
  readonly team: string;
  readonly workload: string;
}

/** Options of a load run. */
export interface LoadOptions {
  readonly instances: readonly TestInstance[];
  /** API keys, as callers present them, by team. */
  readonly keys: Readonly<Record<string, string>>;
  /** Mean rate of urgent requests per second; arrivals are a Poisson process. */
  readonly requestsPerSecond: number;
  /** Mean rate of submissions per second; arrivals are a Poisson process. */
  readonly submissionsPerSecond: number;
  /** Service time of requests, milliseconds. */
  readonly workMs: number;
  /** Mean run time of tasks, milliseconds; each is drawn from 0.5 to 1.5 times this. */
  readonly taskMs: number;
  readonly durationMs: number;
  /** Random number, uniform in [0, 1). */
  readonly random: () => number;
}

const REQUEST_TIMEOUT_MS = 20_000;
const HEALTH_INTERVAL_MS = 500;
const HEALTH_TIMEOUT_MS = 500;

/** Sends the load and records the responses. */
export class Load {
  readonly requests: RequestResult[] = [];
  readonly acceptedSubmissions: AcceptedSubmission[] = [];
  /** Number of refused submissions by reason. */
  readonly refusedSubmissions = new Map<string, number>();
  readonly #options: LoadOptions;
  readonly #readyInstances = new Set<TestInstance>();
  readonly #pendingCalls = new Set<Promise<void>>();

  constructor(options: LoadOptions) {
    this.#options = options;
  }

  /** Sends load for the configured duration; resolves once every call has ended. */
  async run(): Promise<void> {
    const {
      durationMs,
      requestsPerSecond,
      submissionsPerSecond: worksPerSecond,
    } = this.#options;
    const until = Date.now() + durationMs;
    const { instances: nodes } = this.#options;
    await Promise.all([
      ...nodes.map((node) => this.#checkReadiness(node, until)),
      this.#generateArrivals(requestsPerSecond, until, () => this.#request()),
      this.#generateArrivals(worksPerSecond, until, () => this.#submit()),
    ]);
    await Promise.all(this.#pendingCalls);
  }

  async #generateArrivals(
    perSecond: number,
    until: number,
    action: () => Promise<void>,
  ): Promise<void> {
    if (perSecond <= 0) return;
    let next = Date.now();
    while (next < until) {
      const now = Date.now();
      if (next > now) await pause(next - now);
      const started = action();
      this.#pendingCalls.add(started);
      void started.finally(() => this.#pendingCalls.delete(started));
      next += -Math.log(1 - this.#options.random()) * 1000 / perSecond;
    }
  }

  async #request(): Promise<void> {
    const { random } = this.#options;
    const isPrint = random() < 0.5;
    const workload = isPrint ? "receipt-print" : "recipe-check";
    const key = isPrint && random() < 0.5 ? createIdempotencyKey() : undefined;
    const outcome = await this.#send(workload, key);
    const shouldRetry = key !== undefined &&
      (outcome === "unknown" || outcome === "noAnswer");
    if (shouldRetry) await this.#send(workload, key);
  }

  async #send(
    workload: string,
    key: string | undefined,
  ): Promise<RequestResult["outcome"]> {
    const { keys, workMs } = this.#options;
    const mark = randomUUID();
    const node = this.#chooseInstance();
    const startedAt = Date.now();
    const idempotency: Record<string, string> = key === undefined
      ? {}
      : { "idempotency-key": key };
    let result: Pick<RequestResult, "outcome" | "reason">;
    try {
      const reply = await call(node.callers, {
        method: "POST",
        path: `/v1/request/${workload}/${mark}`,
        headers: {
          authorization: `Bearer ${keys.counter}`,
          "x-work-ms": String(workMs),
          ...idempotency,
        },
        body: mark,
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
      result = resultOf(reply, mark, key !== undefined);
    } catch (error) {
      if (isConnectionRefused(error)) return await this.#send(workload, key);
      result = { outcome: "noAnswer" };
    }
    const tookMs = Date.now() - startedAt;
    this.requests.push({
      mark,
      workload,
      key,
      ...result,
      elapsedMs: tookMs,
      atMs: startedAt,
    });
    return result.outcome;
  }

  async #submit(): Promise<void> {
    const { keys, random, taskMs } = this.#options;
    const [workload, count] = chooseWorkload(random());
    const node = this.#chooseInstance();
    const runMs = Math.round(taskMs * (0.5 + random()));
    const payload = Buffer.from(JSON.stringify({ runMs })).toString("base64");
    const team = "billing";
    try {
      const reply = await call(node.callers, {
        method: "POST",
        path: "/v1/work",
        headers: { authorization: `Bearer ${keys[team]}` },
        body: JSON.stringify({ workload, payload, count }),
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
      const body = JSON.parse(reply.body) as { id?: string; type?: string };
      if (reply.status === 202 && body.id !== undefined) {
        this.acceptedSubmissions.push({ id: body.id, team, workload });
      } else this.#countRefusal(body.type ?? String(reply.status));
    } catch (error) {
      if (isConnectionRefused(error)) return await this.#submit();
      this.#countRefusal("noAnswer");
    }
  }

  #countRefusal(reason: string): void {
    const count = this.refusedSubmissions.get(reason) ?? 0;
    this.refusedSubmissions.set(reason, count + 1);
  }

  #chooseInstance(): TestInstance {
    const { instances: nodes, random } = this.#options;
    const healthy = nodes.filter((node) => this.#readyInstances.has(node));
    const candidates = healthy.length > 0 ? healthy : nodes;
    return candidates[Math.floor(random() * candidates.length)]!;
  }

  /** Polls an instance's readiness, as the health check of a load balancer does. */
  async #checkReadiness(node: TestInstance, until: number): Promise<void> {
    while (Date.now() < until) {
      const ready = await isReady(node);
      if (ready) this.#readyInstances.add(node);
      else this.#readyInstances.delete(node);
      await pause(HEALTH_INTERVAL_MS);
    }
  }
}

/** Whether the connection was refused, in which case a load balancer tries another instance. */
function isConnectionRefused(error: unknown): boolean {
  return (error as { code?: unknown }).code === "ECONNREFUSED";
}

async function isReady(node: TestInstance): Promise<boolean> {
  try {
    const timeoutMs = HEALTH_TIMEOUT_MS;
    const reply = await call(node.callers, { path: "/readyz", timeoutMs });
    return reply.status === 200;
  } catch {
    return false;
  }
}

function chooseWorkload(random: number): [string, number | undefined] {
  if (random < 0.6) return ["billing-run", 2];
  return random < 0.9 ? ["price-import", 1] : ["fleet-image", undefined];
}

function resultOf(
  reply: Reply,
  mark: string,
  hasKey: boolean,
): Pick<RequestResult, "outcome" | "reason"> {
  const outcome = String(reply.headers["zinniapoint-outcome"]);
  if (outcome !== "done") {
    const { type } = JSON.parse(reply.body) as { type?: string };
    return {
      outcome: outcome === "notRun" ? "notRun" : "unknown",
      reason: type,
    };
  }
  const { body } = JSON.parse(reply.body) as { body?: string };
  const echoed = Buffer.from(body ?? "", "base64").toString();
  const matches = echoed === mark || hasKey;
  return { outcome: matches ? "done" : "crossed" };
}

/** New idempotency key in the form of a UUID version 7, which contains the time. */
function createIdempotencyKey(): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const rest = randomUUID();
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest.slice(15)}`;
}
