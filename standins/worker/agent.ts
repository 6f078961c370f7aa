/**
 * The platform's agent on a worker: runs task attempts under leases and rejects
 * calls with an outdated fencing token.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Faults } from "./faults.ts";
import {
  type ActivityRecord,
  type RefusalEntry,
  wallClockMs,
} from "./record.ts";
import { decodePayload, type StartRequest, Task } from "./task.ts";
import type { Usage } from "./usage.ts";

/** Result of a call that carries a fencing token. */
export type CallResult =
  | { readonly type: "accepted" }
  | { readonly type: "fenced"; readonly fence: number }
  | { readonly type: "leaving" }
  /** A stop request for the attempt arrived before its start request. */
  | { readonly type: "cancelled" };

/** Options of the agent. */
export interface AgentOptions {
  readonly record: ActivityRecord;
  readonly usage: Usage;
  readonly faults: Faults;
  /** Draws the run time, milliseconds, of a task that does not state its own. */
  readonly sampleMs: () => number;
}

const ACCEPTED: CallResult = { type: "accepted" };
const MAX_PAST_ATTEMPTS = 20_000;

interface Snapshot {
  readonly takenAtMs: number;
  readonly tasks: readonly unknown[];
}

/** Task attempts of one worker. */
export class Agent {
  readonly #options: AgentOptions;
  readonly #tasks = new Map<string, Task>();
  /** Attempts that are no longer in `#tasks`, or were stopped before their start. */
  readonly #past = new Map<string, "ended" | "cancelled">();
  #fence = 0;
  #reportLagMs = 0;
  #snapshot: Snapshot = { takenAtMs: -Infinity, tasks: [] };

  constructor(options: AgentOptions) {
    this.#options = options;
  }

  /** Starts an attempt. Idempotent: a repeated start has no effect. */
  start(attempt: string, request: StartRequest): CallResult {
    const result = this.#checkStart(attempt, request.fence);
    if (result.type !== "accepted") {
      return this.#recordRefusal(result, {
        attempt,
        fence: request.fence,
      });
    }
    if (this.#tasks.has(attempt) || this.#past.has(attempt)) return ACCEPTED;
    this.#tasks.set(attempt, this.#createTask(attempt, request));
    return ACCEPTED;
  }

  /** Renews leases; returns the attempts that are not running, or the newer fence. */
  renew(
    fence: number,
    attempts: readonly string[],
  ): CallResult | { readonly type: "renewed"; readonly missing: string[] } {
    if (!this.#acceptFence(fence)) return this.#fenced();
    const missing = attempts.filter((attempt) => !this.#renewOne(attempt));
    return { type: "renewed", missing };
  }

  /** Stops an attempt, or prevents a later start of an unknown one. */
  stop(
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): CallResult {
    if (!this.#acceptFence(options.fence)) return this.#fenced();
    const task = this.#tasks.get(attempt);
    if (task !== undefined) task.stop(options.checkpoint);
    else if (!this.#past.has(attempt)) this.#addPast(attempt, "cancelled");
    return ACCEPTED;
  }

  /** Limits the processors of an attempt, thousandths of a processor. */
  throttle(
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): CallResult {
    if (!this.#acceptFence(options.fence)) return this.#fenced();
    this.#tasks.get(attempt)?.throttle(options.cpuMillis);
    return ACCEPTED;
  }

  /** Removes ended attempts from the reports. */
  forget(attempts: readonly string[]): void {
    for (const attempt of attempts) {
      const task = this.#tasks.get(attempt);
      if (task === undefined || task.active) continue;
      this.#tasks.delete(attempt);
      this.#addPast(attempt, "ended");
    }
  }

  /** Sets the interval between snapshots, milliseconds. */
  setReportLag(reportLagMs: number): void {
    this.#reportLagMs = reportLagMs;
  }

  /** Latest snapshot of the tasks and its age, milliseconds. */
  report(): { readonly ageMs: number; readonly tasks: readonly unknown[] } {
    const now = performance.now();
    if (now - this.#snapshot.takenAtMs >= this.#reportLagMs) {
      this.#snapshot = { takenAtMs: now, tasks: this.#readTasks() };
    }
    const { takenAtMs: takenAt, tasks } = this.#snapshot;
    return { ageMs: now - takenAt, tasks };
  }

  /** Ends every task, as a shutdown of the machine does. */
  close(): void {
    for (const task of this.#tasks.values()) {
      task.finish({ type: "stopped" }, "workerClosed");
    }
  }

  #checkStart(attempt: string, fence: number): CallResult {
    if (!this.#acceptFence(fence)) return this.#fenced();
    if (this.#tasks.has(attempt)) return ACCEPTED;
    if (this.#past.get(attempt) === "cancelled") return { type: "cancelled" };
    return this.#options.faults.leaving ? { type: "leaving" } : ACCEPTED;
  }

  #recordRefusal(
    result: Exclude<CallResult, { readonly type: "accepted" }>,
    start: Pick<RefusalEntry, "attempt" | "fence">,
  ): CallResult {
    const reason = result.type;
    this.#options.record.addRefusal({ ...start, reason, atMs: wallClockMs() });
    return result;
  }

  #createTask(attempt: string, request: StartRequest): Task {
    const { leaseMs, payload: encoded, ...described } = request;
    const entry = { ...described, attempt, startedAtMs: wallClockMs() };
    this.#options.record.addAttempt(entry);
    const payload = decodePayload(encoded);
    const unscaledMs = payload.runMs ?? this.#options.sampleMs();
    const runMs = unscaledMs * this.#options.faults.slow;
    const { usage, faults } = this.#options;
    const task = new Task({ entry, usage, leaseMs, runMs, payload });
    if (!faults.failing) return task;
    task.finish({ type: "failed", detail: "the worker is failing" }, "failed");
    return task;
  }

  #renewOne(attempt: string): boolean {
    const task = this.#tasks.get(attempt);
    if (task === undefined || !task.active) return false;
    task.renew();
    return true;
  }

  #acceptFence(fence: number): boolean {
    if (fence < this.#fence) return false;
    this.#fence = fence;
    return true;
  }

  #fenced(): CallResult {
    return { type: "fenced", fence: this.#fence };
  }

  #addPast(attempt: string, outcome: "ended" | "cancelled"): void {
    this.#past.set(attempt, outcome);
    if (this.#past.size <= MAX_PAST_ATTEMPTS) return;
    const [oldest] = this.#past.keys();
    if (oldest !== undefined) this.#past.delete(oldest);
  }

  #readTasks(): readonly unknown[] {
    return [...this.#tasks.values()].map((task) => ({
      attempt: task.entry.attempt,
      task: task.entry.task,
      team: task.entry.team,
      workload: task.entry.workload,
      state: task.state,
      declared: task.entry.resources,
      used: task.used,
    }));
  }
}
