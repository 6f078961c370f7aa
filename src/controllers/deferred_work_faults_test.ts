import test from "ava";
import fc from "fast-check";
import { okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import { WriteBudget } from "../journal/write_budget.ts";
import type { Workload } from "../operator_set.ts";
import type {
  AttemptState,
  RunnableTask,
  StartedAttempt,
  TaskRunner,
} from "../ports/runner.ts";
import { DeferredWork } from "./deferred_work.ts";
import { DEFERRED_WORK_LIMITS } from "./deferred_options.ts";

const SEED = 20260104;
const RUNS = 150;
const TASK_DURATION_MS = 300;

const actionArbitrary = fc.constantFrom(
  "submitOnce" as const,
  "submitOnce" as const,
  "submitTwice" as const,
  "submitTwice" as const,
  "loseAnswer" as const,
  "cut" as const,
  "heal" as const,
  "heal" as const,
  "takeover" as const,
  "crash" as const,
  "cancel" as const,
  "workerFails" as const,
  "workerDies" as const,
  "wait" as const,
  "wait" as const,
  "wait" as const,
);

function workload(name: string): Workload {
  return {
    name,
    kind: "batch",
    queue: "q",
    resources: { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 1 },
    idempotent: name === "twice",
    timeoutMs: 1,
    attempts: 3,
    dueMs: 0,
  };
}

/** Workers that start each attempt at most once, and never after its state was queried as unknown. */
class FakeWorkers {
  readonly starts = new Map<string, number>();
  readonly maxConcurrent = new Map<string, number>();
  readonly states = new Map<string, AttemptState>();
  readonly #running = new Map<string, Set<string>>();
  failuresLeft = 0;

  start(task: string, attempt: string): boolean {
    if (this.states.has(attempt)) return false;
    this.states.set(attempt, { type: "running" });
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
    const running = this.#running.get(task) ?? new Set();
    running.add(attempt);
    this.#running.set(task, running);
    this.maxConcurrent.set(
      task,
      Math.max(this.maxConcurrent.get(task) ?? 0, running.size),
    );
    return true;
  }

  finish(task: string, attempt: string): AttemptOutcome | undefined {
    const state = this.states.get(attempt);
    if (state?.type === "ended") return state.outcome;
    if (state?.type !== "running") return undefined;
    this.#running.get(task)?.delete(attempt);
    const outcome: AttemptOutcome = this.failuresLeft-- > 0
      ? { type: "failed", detail: "" }
      : { type: "succeeded" };
    this.states.set(attempt, { type: "ended", outcome });
    return outcome;
  }

  /** Loses all running attempts, so that their outcome stays unknown. */
  loseAllRuns(): void {
    for (const running of this.#running.values()) running.clear();
    for (const [attempt, state] of this.states) {
      if (state.type === "running") {
        this.states.set(attempt, { type: "unknown" });
      }
    }
  }

  find(attempt: string): AttemptState {
    const found = this.states.get(attempt);
    if (found !== undefined) return found;
    this.states.set(attempt, { type: "unknown" });
    return { type: "neverStarted" };
  }
}

/** Starts each enqueued task after a short delay, by two concurrent calls. */
class EagerRunner implements TaskRunner {
  deferred: DeferredWork | undefined;
  crashed = false;
  readonly #clock: ManualClock;
  readonly #workers: FakeWorkers;
  readonly #tracked = new Map<string, StartedAttempt>();

  constructor(clock: ManualClock, workers: FakeWorkers) {
    this.#clock = clock;
    this.#workers = workers;
  }

  enqueue(tasks: readonly RunnableTask[]): void {
    for (const task of tasks) {
      this.#clock.after(10, () => {
        void this.#start(task);
        void this.#start(task);
      });
    }
  }

  withdraw(): void {}

  cancel(): void {}

  find(attempt: StartedAttempt): ReturnType<TaskRunner["find"]> {
    const finding = this.#workers.find(attempt.attempt);
    if (finding.type === "running") this.#track(attempt);
    return okAsync(finding);
  }

  /** Reports the tracked attempts that {@linkcode FakeWorkers.loseAllRuns} has lost. */
  reportLost(): void {
    for (const attempt of this.#tracked.values()) {
      if (this.#workers.states.get(attempt.attempt)?.type === "unknown") {
        this.#complete(attempt, { type: "lost" });
      }
    }
  }

  async #start(task: RunnableTask): Promise<void> {
    if (this.crashed) return;
    const { work, task: index } = task;
    const placement = { work, task: index, worker: "w", fence: 1 };
    const started = await this.deferred?.mayStart(placement);
    if (started === undefined || this.crashed) return;
    if (started.isErr()) {
      if (started.error.type !== "storeAway") return;
      this.#clock.after(500, () => void this.#start(task));
      return;
    }
    const attempt = { ...placement, attempt: started.value };
    this.#clock.after(20, () => {
      if (this.crashed) return;
      const hasStarted = this.#workers.start(
        taskKeyOf(attempt),
        attempt.attempt,
      );
      if (hasStarted) this.#track(attempt);
      else this.#complete(attempt, { type: "notStarted" });
    });
  }

  #track(attempt: StartedAttempt): void {
    this.#tracked.set(attempt.attempt, attempt);
    this.#clock.after(TASK_DURATION_MS, () => {
      const outcome = this.#workers.finish(taskKeyOf(attempt), attempt.attempt);
      if (outcome !== undefined) this.#complete(attempt, outcome);
    });
  }

  #complete(attempt: StartedAttempt, outcome: AttemptOutcome): void {
    this.#tracked.delete(attempt.attempt);
    if (!this.crashed) void this.deferred?.ended(attempt, outcome);
  }
}

function taskKeyOf({ work, task }: StartedAttempt): string {
  return `${work}/${task}`;
}

/** A segment and its successive owners under random faults. */
class FaultScenario {
  readonly workers = new FakeWorkers();
  readonly accepted: string[] = [];
  readonly workloads = new Map<string, string>();
  readonly #clock = new ManualClock();
  readonly #service = new MemoryService(this.#clock);
  readonly #origins: {
    deferred: DeferredWork;
    store: MemoryStore;
    runner: EagerRunner;
  }[] = [];
  #ids = 0;

  get origin(): DeferredWork {
    return this.#origins.at(-1)!.deferred;
  }

  async apply(
    action: typeof actionArbitrary extends fc.Arbitrary<infer T> ? T : never,
  ) {
    const { store, runner } = this.#origins.at(-1)!;
    switch (action) {
      case "submitOnce":
        return this.#submit("once");
      case "submitTwice":
        return this.#submit("twice");
      case "loseAnswer":
        store.faults.lostReplies++;
        return;
      case "cut":
        return store.cut();
      case "heal":
        return store.heal();
      case "takeover":
        return await this.takeOver();
      case "crash":
        runner.crashed = true;
        return await this.takeOver();
      case "cancel": {
        const id = this.accepted.at(-1);
        if (id === undefined) return;
        void this.origin.cancel({ type: "work", id, team: "t" });
        return;
      }
      case "workerFails":
        this.workers.failuresLeft = 2;
        return;
      case "workerDies":
        this.workers.loseAllRuns();
        for (const { runner } of this.#origins) runner.reportLost();
        return;
      case "wait":
        return await this.#clock.run(120);
    }
  }

  async takeOver(): Promise<void> {
    const fence = this.#origins.length + 1;
    const store = new MemoryStore(this.#service);
    const runner = new EagerRunner(this.#clock, this.workers);
    const deferred = new DeferredWork({
      self: `h${fence}`,
      store,
      clock: this.#clock,
      newId: () => `id${this.#ids++}`,
      workloadOf: workload,
      runner,
      budget: new WriteBudget(this.#clock, { perSecond: 1000, burst: 5 }),
      limits: DEFERRED_WORK_LIMITS,
      onLost: () => {},
      onRetired: () => {},
    });
    runner.deferred = deferred;
    const adopted = deferred.adopt("a", fence);
    await this.#clock.run(50);
    (await adopted)._unsafeUnwrap();
    this.#origins.push({ deferred, store, runner });
  }

  async recover(): Promise<void> {
    for (const { store } of this.#origins) {
      store.faults.lostReplies = 0;
      store.heal();
    }
    await this.#clock.run(30_000, 50);
  }

  #submit(kind: string): void {
    const submission = { team: "t", workload: kind, payload: "" };
    this.origin.submit(submission).map(({ id }) => {
      this.accepted.push(id);
      this.workloads.set(id, kind);
    });
  }
}

test("random faults: no concurrent runs, no rerun of non-idempotent work, no lost work", async (t) => {
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(actionArbitrary, { minLength: 15, maxLength: 50, size: "max" }),
      async (actions) => {
        const scenario = new FaultScenario();
        await scenario.takeOver();
        for (const action of actions) await scenario.apply(action);
        await scenario.recover();
        const { workers } = scenario;
        for (const [task, count] of workers.maxConcurrent) t.is(count, 1, task);
        for (const id of scenario.accepted) {
          const work = scenario.origin.show(id)._unsafeUnwrap();
          seen.add(`${work.workload} ${work.status}`);
          t.false(["waiting", "running"].includes(work.status), id);
          const starts = workers.starts.get(`${id}/0`) ?? 0;
          if (scenario.workloads.get(id) === "once") t.true(starts <= 1, id);
          if (work.status === "finished") t.true(starts >= 1, id);
        }
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.true(seen.has("once parked"));
  t.true(seen.has("once finished"));
  t.true(seen.has("twice finished"));
  t.true(seen.has("once cancelled"));
});
