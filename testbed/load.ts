/**
 * Callers of both kinds: requests that wait on their connection, and deferred
 * work. Each remembers what it was told, for the checker.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { call, type Reply } from "./http.ts";
import type { Node } from "./testbed.ts";
import { pause } from "./testbed.ts";

/** What a caller was told of one request. */
export interface RequestNote {
  /** Unique mark in the path of the request. */
  readonly mark: string;
  readonly workload: string;
  /** Sent as the idempotency key, and sent again after an unknown outcome; absent if none. */
  readonly key?: string;
  readonly outcome:
    | "done"
    | "notRun"
    | "unknown"
    /** The connection to the instance broke or could not be made. */
    | "noAnswer"
    /** The answer was another request's. */
    | "crossed";
  readonly reason?: string;
  readonly tookMs: number;
  readonly atMs: number;
}

/** What a caller was told of one submission. */
export interface WorkNote {
  readonly id: string;
  readonly team: string;
  readonly workload: string;
}

/** What the callers do. */
export interface LoadOptions {
  readonly nodes: readonly Node[];
  readonly keys: Readonly<Record<string, string>>;
  /** Urgent requests a second. */
  readonly requestsPerSecond: number;
  /** Submissions a second. */
  readonly worksPerSecond: number;
  /** Service time of requests, milliseconds. */
  readonly workMs: number;
  /** Run time of tasks, milliseconds. */
  readonly taskMs: number;
  readonly durationMs: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

const REQUEST_TIMEOUT_MS = 20_000;
const HEALTH_INTERVAL_MS = 500;
const HEALTH_TIMEOUT_MS = 500;

/** What all callers were told. */
export class Load {
  readonly requests: RequestNote[] = [];
  readonly works: WorkNote[] = [];
  /** Submissions that were refused, by reason. */
  readonly refusedWorks = new Map<string, number>();
  readonly #options: LoadOptions;
  readonly #healthy = new Set<Node>();
  readonly #open = new Set<Promise<void>>();

  constructor(options: LoadOptions) {
    this.#options = options;
  }

  /** Runs the callers for their duration; resolves once each has its last answer. */
  async run(): Promise<void> {
    const { durationMs, requestsPerSecond, worksPerSecond } = this.#options;
    const until = Date.now() + durationMs;
    const { nodes } = this.#options;
    await Promise.all([
      ...nodes.map((node) => this.#balance(node, until)),
      this.#arrivals(requestsPerSecond, until, () => this.#request()),
      this.#arrivals(worksPerSecond, until, () => this.#submit()),
    ]);
    await Promise.all(this.#open);
  }

  async #arrivals(
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
      this.#open.add(started);
      void started.finally(() => this.#open.delete(started));
      next += -Math.log(1 - this.#options.random()) * 1000 / perSecond;
    }
  }

  async #request(): Promise<void> {
    const { random } = this.#options;
    const printing = random() < 0.5;
    const workload = printing ? "receipt-print" : "recipe-check";
    const key = printing && random() < 0.5 ? newKey() : undefined;
    const told = await this.#send(workload, key);
    const again = key !== undefined &&
      (told === "unknown" || told === "noAnswer");
    if (again) await this.#send(workload, key);
  }

  async #send(
    workload: string,
    key: string | undefined,
  ): Promise<RequestNote["outcome"]> {
    const { keys, workMs } = this.#options;
    const mark = randomUUID();
    const node = this.#anyNode();
    const startedAt = Date.now();
    const idempotency: Record<string, string> = key === undefined
      ? {}
      : { "idempotency-key": key };
    let note: Pick<RequestNote, "outcome" | "reason">;
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
      note = noteOf(reply, mark, key !== undefined);
    } catch (error) {
      if (isRefused(error)) return await this.#send(workload, key);
      note = { outcome: "noAnswer" };
    }
    const tookMs = Date.now() - startedAt;
    this.requests.push({
      mark,
      workload,
      key,
      ...note,
      tookMs,
      atMs: startedAt,
    });
    return note.outcome;
  }

  async #submit(): Promise<void> {
    const { keys, random, taskMs } = this.#options;
    const [workload, count] = pick(random());
    const node = this.#anyNode();
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
        this.works.push({ id: body.id, team, workload });
      } else this.#refused(body.type ?? String(reply.status));
    } catch (error) {
      if (isRefused(error)) return await this.#submit();
      this.#refused("noAnswer");
    }
  }

  #refused(reason: string): void {
    const before = this.refusedWorks.get(reason) ?? 0;
    this.refusedWorks.set(reason, before + 1);
  }

  #anyNode(): Node {
    const { nodes, random } = this.#options;
    const healthy = nodes.filter((node) => this.#healthy.has(node));
    const choice = healthy.length > 0 ? healthy : nodes;
    return choice[Math.floor(random() * choice.length)]!;
  }

  /** Asks each instance for its readiness now and then, as a balancer does. */
  async #balance(node: Node, until: number): Promise<void> {
    while (Date.now() < until) {
      const ready = await isReady(node);
      if (ready) this.#healthy.add(node);
      else this.#healthy.delete(node);
      await pause(HEALTH_INTERVAL_MS);
    }
  }
}

/** Whether no connection could be made: a balancer would try another instance. */
function isRefused(error: unknown): boolean {
  return (error as { code?: unknown }).code === "ECONNREFUSED";
}

async function isReady(node: Node): Promise<boolean> {
  try {
    const timeoutMs = HEALTH_TIMEOUT_MS;
    const reply = await call(node.callers, { path: "/readyz", timeoutMs });
    return reply.status === 200;
  } catch {
    return false;
  }
}

function pick(random: number): [string, number | undefined] {
  if (random < 0.6) return ["billing-run", 2];
  return random < 0.9 ? ["price-import", 1] : ["fleet-image", undefined];
}

function noteOf(
  reply: Reply,
  mark: string,
  repeated: boolean,
): Pick<RequestNote, "outcome" | "reason"> {
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
  const whole = echoed === mark || repeated;
  return { outcome: whole ? "done" : "crossed" };
}

/** A key that carries its time, as UUID version 7 does. */
function newKey(): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const rest = randomUUID();
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest.slice(15)}`;
}
