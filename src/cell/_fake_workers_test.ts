/**
 * Workers in memory, as the platform's pages describe them, for tests of the
 * cell.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { ManualClock } from "../clock.ts";
import type {
  LookFailure,
  ReportedEnd,
  ReportedRun,
  StartAnswer,
  StartOrder,
  WorkerAddress,
  WorkerOrders,
  WorkerReport,
} from "./ports.ts";

/** One worker in memory, as the platform's pages describe it. */
export class FakeWorker {
  fence = 0;
  bornMs = 1;
  silent = false;
  /** Stops are confirmed, and the runs go on for a while. */
  slowToStop = false;
  /** Starts that are not answered; kept for `carryOutLate`. */
  mute = false;
  /** So many calls more are carried out without an answer. */
  lostAnswers = 0;
  /** Runs are done as they start. */
  instant = false;
  readonly late: StartOrder[] = [];
  readonly running = new Map<
    string,
    { run: number; checkpoint: string; percent: number }
  >();
  /** Acknowledgements are lost on their way. */
  keepsEnds = false;
  /** How long a report waits for an end, milliseconds. */
  reportMs = 50;
  /** Its tasks stand still. */
  stalled = false;
  readonly starts: StartOrder[] = [];
  readonly stops: { readonly task: string; readonly run: number }[] = [];
  readonly forbidden = new Map<string, number>();
  ended: ReportedEnd[] = [];
  acknowledged = 0;
  #ends = 0;
  readonly id: string;
  readonly clock: ManualClock;

  constructor(id: string, clock: ManualClock) {
    this.id = id;
    this.clock = clock;
  }

  /** Ends a run. */
  end(task: string, kind: ReportedEnd["kind"], checkpoint = ""): void {
    const running = this.running.get(task);
    if (running === undefined) return;
    this.running.delete(task);
    this.#ends++;
    this.ended.push({
      number: this.#ends,
      task,
      run: running.run,
      kind,
      checkpoint,
    });
  }

  /** Starts a process anew under the same id. */
  restart(): void {
    this.running.clear();
    this.forbidden.clear();
    this.ended = [];
    this.acknowledged = 0;
    this.#ends = 0;
    this.fence = 0;
    this.bornMs++;
  }

  /** Whether the answer to a call is lost. */
  losesAnswer(): boolean {
    if (this.lostAnswers === 0) return false;
    this.lostAnswers--;
    return true;
  }

  /** Carries out orders that were left unanswered. */
  carryOutLate(): void {
    for (const order of this.late.splice(0)) this.start(order);
  }

  /** Takes an order. */
  start(order: StartOrder): StartAnswer {
    if (order.fence < this.fence) {
      return { type: "rejected", reason: "fenced" };
    }
    this.fence = order.fence;
    if (order.leaseUntilMs < this.clock.monotonic()) {
      return { type: "rejected", reason: "tooLate" };
    }
    if (this.running.get(order.task)?.run === order.run) {
      return { type: "started", clockMs: this.clock.monotonic() };
    }
    if (order.run <= (this.forbidden.get(order.task) ?? 0)) {
      return { type: "rejected", reason: "staleRun" };
    }
    this.starts.push(order);
    this.running.set(order.task, {
      run: order.run,
      checkpoint: order.checkpoint,
      percent: 0,
    });
    if (this.instant) {
      this.forbidden.set(order.task, order.run);
      this.end(order.task, "done");
    }
    return { type: "started", clockMs: this.clock.monotonic() };
  }

  /** Ends a run or forbids it. */
  stop(task: string, run: number): void {
    this.stops.push({ task, run });
    this.forbidden.set(task, run);
    if (this.slowToStop) return;
    if (this.running.get(task)?.run === run) this.end(task, "stopped");
  }

  /** Reports, and forgets what is acknowledged. */
  report(acknowledged: number): WorkerReport {
    this.acknowledged = Math.max(this.acknowledged, acknowledged);
    if (!this.keepsEnds) {
      this.ended = this.ended.filter((end) => end.number > acknowledged);
    }
    const running = [...this.running].map(([task, held]): ReportedRun => ({
      task,
      run: held.run,
      checkpoint: held.checkpoint,
      percent: held.percent += this.stalled || held.percent > 90 ? 0 : 1,
    }));
    return {
      clockMs: this.clock.monotonic(),
      bornMs: this.bornMs,
      running,
      ended: [...this.ended],
    };
  }
}

/** Orders to {@linkcode FakeWorker}s. */
export class FakeOrders implements WorkerOrders {
  readonly workers = new Map<string, FakeWorker>();
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  start(worker: WorkerAddress, order: StartOrder): Promise<StartAnswer> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) {
      return Promise.resolve({ type: "unreached", message: "silent" });
    }
    if (there.mute) {
      there.late.push(order);
      return Promise.resolve({ type: "unknown", message: "no answer" });
    }
    const answer = there.start(order);
    if (there.losesAnswer()) {
      return Promise.resolve({ type: "unknown", message: "lost" });
    }
    return Promise.resolve(answer);
  }

  stop(
    worker: WorkerAddress,
    order: { readonly task: string; readonly run: number },
  ): Promise<boolean> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) return Promise.resolve(false);
    there.stop(order.task, order.run);
    return Promise.resolve(true);
  }

  look(
    worker: WorkerAddress,
    order: Parameters<WorkerOrders["look"]>[1],
  ): ResultAsync<WorkerReport, LookFailure> {
    return new ResultAsync(this.#look(worker, order));
  }

  forget(): void {}

  async #look(
    worker: WorkerAddress,
    order: Parameters<WorkerOrders["look"]>[1],
  ): Promise<Awaited<ReturnType<WorkerOrders["look"]>>> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    if (order.fence < there.fence) {
      return await errAsync({ type: "fenced", message: "higher fence" });
    }
    there.fence = order.fence;
    const fresh = there.ended.some((end) => end.number > order.acknowledged);
    if (order.waitMs > 0 && !fresh) {
      await new Promise<void>((resolve) =>
        this.#clock.after(there.reportMs, resolve)
      );
    }
    if (there.silent || there.losesAnswer()) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    return await okAsync(there.report(order.acknowledged));
  }
}
