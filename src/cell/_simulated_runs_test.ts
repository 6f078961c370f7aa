/**
 * Simulates workers that run tasks one after another in virtual time, for tests
 * of the estimates.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ManualClock } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { ForecastAccuracy } from "./decisions/forecast_accuracy.ts";
import { RunTimes } from "./decisions/run_times.ts";
import { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import { Fleet, type FleetWorker, type Run } from "./fleet.ts";
import { EstimateUpdates } from "./estimate_updates.ts";
import { newRun } from "./run.ts";
import type { Queue, StepSpec } from "./types.ts";

/** Share of runs that last seven times as long. */
const LONG_SHARE = 0.03;
const LONG_FACTOR = 7;
/** Coefficient of variation of the other run times. */
const VARIATION_COEFFICIENT = 0.5;
/** Interval between reports of a worker. */
const REPORT_INTERVAL_MS = 500;

/** Workers and workload of a simulation. */
export interface SimulationOptions {
  readonly workers: number;
  readonly seed?: number;
  /** Concurrent runs on a worker. */
  readonly slots?: number;
  /** Mean run time on an average worker, milliseconds. */
  readonly meanMs?: number;
  readonly queue?: Queue;
  readonly spec?: Partial<StepSpec>;
}

/**
 * Workers of given speeds, and the estimates that are learned from their runs.
 */
export class SimulatedRuns {
  readonly clock = new ManualClock();
  readonly fleet = new Fleet();
  readonly metrics = new Metrics();
  readonly runTimes = new RunTimes();
  readonly workerSpeeds = new WorkerSpeeds();
  readonly forecasts = new ForecastAccuracy();
  readonly estimates: EstimateUpdates;
  /** True time factor of each worker. */
  readonly timeFactors = new Map<string, number>();
  /** Number of completed runs by worker. */
  readonly completedRuns = new Map<string, number>();
  /**
   * Duration of the next run of a worker, milliseconds, in place of a random
   * one.
   */
  readonly nextDurations = new Map<string, number>();
  readonly #options: SimulationOptions;
  readonly #random;
  #runs = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed ?? 1);
    this.estimates = new EstimateUpdates(this);
    for (let index = 0; index < options.workers; index++) {
      const worker = openWorker(this.fleet, `w${index}`);
      this.timeFactors.set(worker.id, 1);
      this.completedRuns.set(worker.id, 0);
    }
  }

  /** Workers in the order in which they were created. */
  get workers(): readonly FleetWorker[] {
    return [...this.fleet.workers.values()];
  }

  /**
   * Starts runs and reports on all workers. They continue as virtual time
   * advances.
   */
  begin(): void {
    const { slots = 1, meanMs = 700 } = this.#options;
    for (const worker of this.workers) {
      for (let slot = 0; slot < slots; slot++) {
        this.clock.after(this.randomUnit() * meanMs, () => this.start(worker));
      }
      this.clock.after(
        this.randomUnit() * REPORT_INTERVAL_MS,
        () => this.#report(worker),
      );
    }
  }

  /** Starts a run. When it is done, the worker starts another one. */
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
    this.fleet.addRun(run);
    const durationMs = this.nextDurations.get(worker.id) ??
      this.timeFactors.get(worker.id)! * this.drawMs();
    this.nextDurations.delete(worker.id);
    this.clock.after(durationMs, () => {
      this.estimates.runCompleted(run, "done");
      this.fleet.removeRun(run);
      this.completedRuns.set(worker.id, this.completedRuns.get(worker.id)! + 1);
      this.start(worker);
    });
  }

  /** Returns a random run time on an average worker, milliseconds. */
  drawMs(): number {
    const { meanMs = 700 } = this.#options;
    const sigma = Math.sqrt(Math.log(1 + VARIATION_COEFFICIENT ** 2));
    const normal = Math.sqrt(-2 * Math.log(1 - this.randomUnit())) *
      Math.cos(2 * Math.PI * this.randomUnit());
    const long = this.randomUnit() < LONG_SHARE ? LONG_FACTOR : 1;
    return long * meanMs * Math.exp(sigma * normal - sigma ** 2 / 2);
  }

  /** Returns a uniformly distributed random number in [0, 1). */
  randomUnit(): number {
    return uniformFloat64(this.#random);
  }

  #report(worker: FleetWorker): void {
    for (const run of [...worker.runs.values()] as Run[]) {
      this.estimates.runReported(run);
    }
    this.clock.after(REPORT_INTERVAL_MS, () => this.#report(worker));
  }
}
