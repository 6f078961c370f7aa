/**
 * The platform's agent on a worker: runs tasks under leases and fences.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Faults } from "./faults.ts";
import { type Record, type RefusalEntry, wallClockMs } from "./record.ts";
import { decodePayload, type StartRequest, Task } from "./task.ts";
import type { Usage } from "./usage.ts";

/** What became of a call that carries a fencing number. */
export type Verdict =
  | { readonly type: "accepted" }
  | { readonly type: "fenced"; readonly fence: number }
  | { readonly type: "leaving" }
  /** The attempt was stopped before it was started. */
  | { readonly type: "cancelled" };

/** What the agent works with. */
export interface AgentOptions {
  readonly record: Record;
  readonly usage: Usage;
  readonly faults: Faults;
  /** Run time of a task that does not say. */
  readonly sampleMs: () => number;
}

const ACCEPTED: Verdict = { type: "accepted" };
const MAX_REMEMBERED = 20_000;

interface Snapshot {
  readonly takenAt: number;
  readonly tasks: readonly unknown[];
}

/** All tasks of one worker. */
export class Agent {
  readonly #options: AgentOptions;
  readonly #tasks = new Map<string, Task>();
  readonly #gone = new Map<string, "ended" | "cancelled">();
  #fence = 0;
  #reportLagMs = 0;
  #snapshot: Snapshot = { takenAt: -Infinity, tasks: [] };

  constructor(options: AgentOptions) {
    this.#options = options;
  }

  /** Starts an attempt; starting it again changes nothing. */
  start(attempt: string, request: StartRequest): Verdict {
    const verdict = this.#admit(attempt, request.fence);
    if (verdict.type !== "accepted") {
      return this.#refuse(verdict, {
        attempt,
        fence: request.fence,
      });
    }
    if (this.#tasks.has(attempt) || this.#gone.has(attempt)) return ACCEPTED;
    this.#tasks.set(attempt, this.#run(attempt, request));
    return ACCEPTED;
  }

  /** Renews leases; gives the attempts that are not running, or the newer fence. */
  renew(
    fence: number,
    attempts: readonly string[],
  ): Verdict | { readonly type: "renewed"; readonly missing: string[] } {
    if (!this.#raiseFence(fence)) return this.#fenced();
    const missing = attempts.filter((attempt) => !this.#renewOne(attempt));
    return { type: "renewed", missing };
  }

  /** Stops an attempt, or sees to it that it never starts. */
  stop(
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): Verdict {
    if (!this.#raiseFence(options.fence)) return this.#fenced();
    const task = this.#tasks.get(attempt);
    if (task !== undefined) task.stop(options.checkpoint);
    else if (!this.#gone.has(attempt)) this.#remember(attempt, "cancelled");
    return ACCEPTED;
  }

  /** Limits the processors of an attempt. */
  throttle(
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): Verdict {
    if (!this.#raiseFence(options.fence)) return this.#fenced();
    this.#tasks.get(attempt)?.throttle(options.cpuMillis);
    return ACCEPTED;
  }

  /** Drops ended attempts from the reports. */
  forget(attempts: readonly string[]): void {
    for (const attempt of attempts) {
      const task = this.#tasks.get(attempt);
      if (task === undefined || task.active) continue;
      this.#tasks.delete(attempt);
      this.#remember(attempt, "ended");
    }
  }

  /** Sets the time between readings. */
  lag(reportLagMs: number): void {
    this.#reportLagMs = reportLagMs;
  }

  /** The last reading with its age. */
  report(): { readonly ageMs: number; readonly tasks: readonly unknown[] } {
    const now = performance.now();
    if (now - this.#snapshot.takenAt >= this.#reportLagMs) {
      this.#snapshot = { takenAt: now, tasks: this.#read() };
    }
    const { takenAt, tasks } = this.#snapshot;
    return { ageMs: now - takenAt, tasks };
  }

  /** Ends every task, as when the machine goes away. */
  close(): void {
    for (const task of this.#tasks.values()) {
      task.finish({ type: "stopped" }, "workerClosed");
    }
  }

  #admit(attempt: string, fence: number): Verdict {
    if (!this.#raiseFence(fence)) return this.#fenced();
    if (this.#tasks.has(attempt)) return ACCEPTED;
    if (this.#gone.get(attempt) === "cancelled") return { type: "cancelled" };
    return this.#options.faults.leaving ? { type: "leaving" } : ACCEPTED;
  }

  #refuse(
    verdict: Exclude<Verdict, { readonly type: "accepted" }>,
    start: Pick<RefusalEntry, "attempt" | "fence">,
  ): Verdict {
    const reason = verdict.type;
    this.#options.record.refused({ ...start, reason, atMs: wallClockMs() });
    return verdict;
  }

  #run(attempt: string, request: StartRequest): Task {
    const { leaseMs, payload: encoded, ...described } = request;
    const entry = { ...described, attempt, startedAtMs: wallClockMs() };
    this.#options.record.attemptStarted(entry);
    const payload = decodePayload(encoded);
    const sampledMs = payload.runMs ?? this.#options.sampleMs();
    const runMs = sampledMs * this.#options.faults.slow;
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

  #raiseFence(fence: number): boolean {
    if (fence < this.#fence) return false;
    this.#fence = fence;
    return true;
  }

  #fenced(): Verdict {
    return { type: "fenced", fence: this.#fence };
  }

  #remember(attempt: string, how: "ended" | "cancelled"): void {
    this.#gone.set(attempt, how);
    if (this.#gone.size <= MAX_REMEMBERED) return;
    const [oldest] = this.#gone.keys();
    if (oldest !== undefined) this.#gone.delete(oldest);
  }

  #read(): readonly unknown[] {
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
