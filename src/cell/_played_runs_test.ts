/**
 * Workers that run tasks one after another in virtual time, for tests of what is
 * learned from them.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ManualClock } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { Forecasts } from "./decisions/forecasts.ts";
import { RunTimes } from "./decisions/run_times.ts";
import { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import { Fleet, type FleetWorker, type Run } from "./fleet.ts";
import { Learning } from "./learning.ts";
import { newRun } from "./run.ts";
import type { Queue, StepSpec } from "./types.ts";

/** Share of runs that last seven times as long. */
const LONG_SHARE = 0.03;
const LONG_FACTOR = 7;
/** Coefficient of variation of the others. */
const VARIATION = 0.5;
/** Reports come this often, milliseconds. */
const REPORT_MS = 500;

/** What the workers run. */
export interface PlayOptions {
  readonly workers: number;
  readonly seed?: number;
  /** Runs at once on a worker. */
  readonly slots?: number;
  /** Mean run time on an average worker, milliseconds. */
  readonly meanMs?: number;
  readonly queue?: Queue;
  readonly spec?: Partial<StepSpec>;
}

/** Workers with a speed each, and what is learned from them. */
export class PlayedRuns {
  readonly clock = new ManualClock();
  readonly fleet = new Fleet();
  readonly metrics = new Metrics();
  readonly runTimes = new RunTimes();
  readonly workerSpeeds = new WorkerSpeeds();
  readonly forecasts = new Forecasts();
  readonly learning: Learning;
  /** True time factor of each worker. */
  readonly factors = new Map<string, number>();
  /** Runs that ended, by worker. */
  readonly ended = new Map<string, number>();
  /** Time of the next run of a worker, milliseconds, in place of a drawn one. */
  readonly next = new Map<string, number>();
  readonly #options: PlayOptions;
  readonly #random;
  #runs = 0;

  constructor(options: PlayOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed ?? 1);
    this.learning = new Learning(this);
    for (let index = 0; index < options.workers; index++) {
      const worker = openWorker(this.fleet, `w${index}`);
      this.factors.set(worker.id, 1);
      this.ended.set(worker.id, 0);
    }
  }

  /** Workers in the order of their making. */
  get workers(): readonly FleetWorker[] {
    return [...this.fleet.workers.values()];
  }

  /** Starts runs on all workers and reports them; they go on as long as time does. */
  begin(): void {
    const { slots = 1, meanMs = 700 } = this.#options;
    for (const worker of this.workers) {
      for (let slot = 0; slot < slots; slot++) {
        this.clock.after(this.unit() * meanMs, () => this.start(worker));
      }
      this.clock.after(this.unit() * REPORT_MS, () => this.#report(worker));
    }
  }

  /** Starts a run. */
  start(worker: FleetWorker): void {
    const nowMs = this.clock.monotonic();
    const { queue, spec = {} } = this.#options;
    const step = stepOf(spec, {
      id: String(++this.#runs),
      ...(queue === undefined ? {} : { queue }),
    });
    const task = step.tasks[0]!;
    task.worker = worker.id;
    const run = newRun(step, { task, worker, nowMs });
    run.startedMs = nowMs;
    this.fleet.take(run);
    const lastsMs = this.next.get(worker.id) ??
      this.factors.get(worker.id)! * this.drawMs();
    this.next.delete(worker.id);
    this.clock.after(lastsMs, () => {
      this.learning.ended(run, "done");
      this.fleet.release(run);
      this.ended.set(worker.id, this.ended.get(worker.id)! + 1);
      this.start(worker);
    });
  }

  /** Draws a run time on an average worker, milliseconds. */
  drawMs(): number {
    const { meanMs = 700 } = this.#options;
    const sigma = Math.sqrt(Math.log(1 + VARIATION ** 2));
    const normal = Math.sqrt(-2 * Math.log(1 - this.unit())) *
      Math.cos(2 * Math.PI * this.unit());
    const long = this.unit() < LONG_SHARE ? LONG_FACTOR : 1;
    return long * meanMs * Math.exp(sigma * normal - sigma ** 2 / 2);
  }

  /** Uniform in [0, 1). */
  unit(): number {
    return uniformFloat64(this.#random);
  }

  #report(worker: FleetWorker): void {
    for (const run of [...worker.runs.values()] as Run[]) {
      this.learning.running(run);
    }
    this.clock.after(REPORT_MS, () => this.#report(worker));
  }
}
