/**
 * Simulated attempt of a task on a worker.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import * as t from "io-ts";
import {
  type AttemptEntry,
  type AttemptOutcome,
  wallClockMs,
} from "./record.ts";
import { Resources, type Usage } from "./usage.ts";

/** Body of PUT /v1/tasks/{attempt}. */
export const StartRequest = t.type({
  task: t.string,
  team: t.string,
  workload: t.string,
  resources: Resources,
  fence: t.number,
  leaseMs: t.number,
  /** Base64 of the JSON of {@linkcode Payload}. */
  payload: t.string,
});
/** Body of PUT /v1/tasks/{attempt}. */
export type StartRequest = t.TypeOf<typeof StartRequest>;

/** Simulated behaviour of a task; resources default to the declared ones. */
export const Payload = t.partial({
  runMs: t.number,
  fail: t.boolean,
  usedCpuMillis: t.number,
  usedMemoryMib: t.number,
});
/** Simulated behaviour of a task; resources default to the declared ones. */
export type Payload = t.TypeOf<typeof Payload>;

/** State of a task. */
export type TaskState =
  | { readonly type: "running" }
  | { readonly type: "throttled" }
  | { readonly type: "succeeded"; readonly result: string }
  | { readonly type: "failed"; readonly detail: string }
  | { readonly type: "stopped"; readonly checkpoint?: string };

/** Options of a task. */
export interface TaskOptions {
  readonly entry: AttemptEntry;
  readonly usage: Usage;
  readonly leaseMs: number;
  readonly runMs: number;
  readonly payload: Payload;
}

/** Decodes a payload; one that is malformed is read as empty. */
export function decodePayload(base64: string): Payload {
  try {
    const text = Buffer.from(base64, "base64").toString("utf8");
    const decoded = Payload.decode(JSON.parse(text));
    return decoded._tag === "Right" ? decoded.right : {};
  } catch {
    return {};
  }
}

/** Task that occupies its resources until it completes, is stopped or loses its lease. */
export class Task {
  readonly entry: AttemptEntry;
  readonly #usage: Usage;
  readonly #leaseMs: number;
  readonly #payload: Payload;
  #state: TaskState = { type: "running" };
  #allocated: Resources;
  #remainingMs: number;
  #rate = 1;
  #resumedAt = performance.now();
  #completionTimer: NodeJS.Timeout | undefined;
  #leaseTimer: NodeJS.Timeout | undefined;

  constructor(options: TaskOptions) {
    this.entry = options.entry;
    this.#usage = options.usage;
    this.#leaseMs = options.leaseMs;
    this.#payload = options.payload;
    this.#remainingMs = options.runMs;
    this.#allocated = options.entry.resources;
    this.#usage.allocate(this.#allocated);
    this.renew();
    this.#scheduleCompletion();
  }

  /** Current state. */
  get state(): TaskState {
    return this.#state;
  }

  /** Whether the task occupies resources. */
  get active(): boolean {
    return this.#state.type === "running" || this.#state.type === "throttled";
  }

  /** Resources that the report shows as used. */
  get used(): Resources {
    const { cpuMillis, memoryMib, accelerators, slots } = this.#allocated;
    if (!this.active) {
      return { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 0 };
    }
    const demandedCpu = this.#payload.usedCpuMillis ?? cpuMillis;
    return {
      cpuMillis: this.#state.type === "throttled"
        ? Math.min(demandedCpu, cpuMillis)
        : demandedCpu,
      memoryMib: this.#payload.usedMemoryMib ?? memoryMib,
      accelerators,
      slots,
    };
  }

  /** Restarts the lease; when it expires, the task stops. */
  renew(): void {
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => this.finish({ type: "stopped" }, "leaseLapsed"),
      this.#leaseMs,
    );
  }

  /** Stops the task; with `checkpoint`, its state includes the remaining run time. */
  stop(checkpoint: boolean): void {
    if (!this.active) return;
    this.#updateProgress();
    const result = checkpoint ? { checkpoint: this.#encodeCheckpoint() } : {};
    this.finish({ type: "stopped", ...result }, "stopped");
  }

  /** Limits the processors of the task and extends its run time in proportion. */
  throttle(cpuMillis: number): void {
    if (!this.active) return;
    this.#updateProgress();
    const declared = this.entry.resources.cpuMillis;
    this.#usage.release(this.#allocated);
    this.#allocated = { ...this.#allocated, cpuMillis };
    this.#usage.allocate(this.#allocated);
    this.#rate = Math.min(1, Math.max(1, cpuMillis) / Math.max(1, declared));
    this.#state = { type: this.#rate < 1 ? "throttled" : "running" };
    this.#scheduleCompletion();
  }

  /** Releases the resources and sets the final state; no effect once the task has ended. */
  finish(state: TaskState, end: AttemptOutcome): void {
    if (!this.active) return;
    clearTimeout(this.#completionTimer);
    clearTimeout(this.#leaseTimer);
    this.#usage.release(this.#allocated);
    this.#state = state;
    this.entry.endedAtMs = wallClockMs();
    this.entry.end = end;
  }

  #updateProgress(): void {
    const now = performance.now();
    const progressMs = (now - this.#resumedAt) * this.#rate;
    this.#remainingMs = Math.max(0, this.#remainingMs - progressMs);
    this.#resumedAt = now;
  }

  #scheduleCompletion(): void {
    clearTimeout(this.#completionTimer);
    const remainingMs = this.#remainingMs / this.#rate;
    this.#completionTimer = setTimeout(() => this.#complete(), remainingMs);
  }

  #complete(): void {
    if (this.#payload.fail) {
      const detail = "asked to fail";
      return this.finish({ type: "failed", detail }, "failed");
    }
    const result = Buffer.from(this.entry.task).toString("base64");
    this.finish({ type: "succeeded", result }, "succeeded");
  }

  #encodeCheckpoint(): string {
    const remainingMs = Math.round(this.#remainingMs);
    return Buffer.from(JSON.stringify({ remainingMs })).toString("base64");
  }
}
