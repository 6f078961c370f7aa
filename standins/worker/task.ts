/**
 * One attempt of a task as it runs on a worker.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import * as t from "io-ts";
import { type AttemptEnd, type AttemptEntry, wallClockMs } from "./record.ts";
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

/** What a task of the stand-in is to do. */
export const Payload = t.partial({
  runMs: t.number,
  fail: t.boolean,
  usedCpuMillis: t.number,
  usedMemoryMib: t.number,
});
/** What a task of the stand-in is to do. */
export type Payload = t.TypeOf<typeof Payload>;

/** State of a task. */
export type TaskState =
  | { readonly type: "running" }
  | { readonly type: "throttled" }
  | { readonly type: "succeeded"; readonly result: string }
  | { readonly type: "failed"; readonly detail: string }
  | { readonly type: "stopped"; readonly checkpoint?: string };

/** Settings of a task. */
export interface TaskOptions {
  readonly entry: AttemptEntry;
  readonly usage: Usage;
  readonly leaseMs: number;
  readonly runMs: number;
  readonly payload: Payload;
}

/** Reads a payload; what is no payload asks for nothing special. */
export function decodePayload(base64: string): Payload {
  try {
    const text = Buffer.from(base64, "base64").toString("utf8");
    const decoded = Payload.decode(JSON.parse(text));
    return decoded._tag === "Right" ? decoded.right : {};
  } catch {
    return {};
  }
}

/** A task that takes its resources until it ends. */
export class Task {
  readonly entry: AttemptEntry;
  readonly #usage: Usage;
  readonly #leaseMs: number;
  readonly #payload: Payload;
  #state: TaskState = { type: "running" };
  #taken: Resources;
  #remainingMs: number;
  #rate = 1;
  #resumedAt = performance.now();
  #end: NodeJS.Timeout | undefined;
  #lapse: NodeJS.Timeout | undefined;

  constructor(options: TaskOptions) {
    this.entry = options.entry;
    this.#usage = options.usage;
    this.#leaseMs = options.leaseMs;
    this.#payload = options.payload;
    this.#remainingMs = options.runMs;
    this.#taken = options.entry.resources;
    this.#usage.take(this.#taken);
    this.renew();
    this.#schedule();
  }

  /** State now. */
  get state(): TaskState {
    return this.#state;
  }

  /** Whether it takes resources. */
  get active(): boolean {
    return this.#state.type === "running" || this.#state.type === "throttled";
  }

  /** What it is seen to take. */
  get used(): Resources {
    const { cpuMillis, memoryMib, accelerators, slots } = this.#taken;
    if (!this.active) {
      return { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 0 };
    }
    const wantedCpu = this.#payload.usedCpuMillis ?? cpuMillis;
    return {
      cpuMillis: this.#state.type === "throttled"
        ? Math.min(wantedCpu, cpuMillis)
        : wantedCpu,
      memoryMib: this.#payload.usedMemoryMib ?? memoryMib,
      accelerators,
      slots,
    };
  }

  /** Starts the lease anew. */
  renew(): void {
    clearTimeout(this.#lapse);
    this.#lapse = setTimeout(
      () => this.finish({ type: "stopped" }, "leaseLapsed"),
      this.#leaseMs,
    );
  }

  /** Stops it, with what has been done so far if a checkpoint is asked for. */
  stop(checkpoint: boolean): void {
    if (!this.active) return;
    this.#settleProgress();
    const taken = checkpoint ? { checkpoint: this.#checkpoint() } : {};
    this.finish({ type: "stopped", ...taken }, "stopped");
  }

  /** Lowers the processors that it gets; it takes longer in proportion. */
  throttle(cpuMillis: number): void {
    if (!this.active) return;
    this.#settleProgress();
    const declared = this.entry.resources.cpuMillis;
    this.#usage.release(this.#taken);
    this.#taken = { ...this.#taken, cpuMillis };
    this.#usage.take(this.#taken);
    this.#rate = Math.min(1, Math.max(1, cpuMillis) / Math.max(1, declared));
    this.#state = { type: this.#rate < 1 ? "throttled" : "running" };
    this.#schedule();
  }

  /** Ends it once and for all. */
  finish(state: TaskState, end: AttemptEnd): void {
    if (!this.active) return;
    clearTimeout(this.#end);
    clearTimeout(this.#lapse);
    this.#usage.release(this.#taken);
    this.#state = state;
    this.entry.endedAtMs = wallClockMs();
    this.entry.end = end;
  }

  #settleProgress(): void {
    const now = performance.now();
    const done = (now - this.#resumedAt) * this.#rate;
    this.#remainingMs = Math.max(0, this.#remainingMs - done);
    this.#resumedAt = now;
  }

  #schedule(): void {
    clearTimeout(this.#end);
    const leftMs = this.#remainingMs / this.#rate;
    this.#end = setTimeout(() => this.#complete(), leftMs);
  }

  #complete(): void {
    if (this.#payload.fail) {
      const detail = "asked to fail";
      return this.finish({ type: "failed", detail }, "failed");
    }
    const result = Buffer.from(this.entry.task).toString("base64");
    this.finish({ type: "succeeded", result }, "succeeded");
  }

  #checkpoint(): string {
    const remainingMs = Math.round(this.#remainingMs);
    return Buffer.from(JSON.stringify({ remainingMs })).toString("base64");
  }
}
