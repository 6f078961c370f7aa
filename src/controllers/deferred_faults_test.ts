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
import { Deferred } from "./deferred.ts";
import { DEFERRED_LIMITS } from "./deferred_options.ts";

const SEED = 20260104;
const RUNS = 150;
const TASK_MS = 300;

const step = fc.constantFrom(
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

/** The workers: they start an attempt once, unless it has been barred. */
class Workers {
  readonly starts = new Map<string, number>();
  readonly most = new Map<string, number>();
  readonly states = new Map<string, AttemptState>();
  readonly #running = new Map<string, Set<string>>();
  fails = 0;

  start(task: string, attempt: string): boolean {
    if (this.states.has(attempt)) return false;
    this.states.set(attempt, { type: "running" });
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
    const running = this.#running.get(task) ?? new Set();
    running.add(attempt);
    this.#running.set(task, running);
    this.most.set(task, Math.max(this.most.get(task) ?? 0, running.size));
    return true;
  }

  end(task: string, attempt: string): AttemptOutcome | undefined {
    const state = this.states.get(attempt);
    if (state?.type === "ended") return state.outcome;
    if (state?.type !== "running") return undefined;
    this.#running.get(task)?.delete(attempt);
    const outcome: AttemptOutcome = this.fails-- > 0
      ? { type: "failed", detail: "" }
      : { type: "succeeded" };
    this.states.set(attempt, { type: "ended", outcome });
    return outcome;
  }

  /** All that runs is gone without a trace. */
  die(): void {
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

/** Starts whatever it is given, after a moment, and twice at once. */
class EagerRunner implements TaskRunner {
  deferred: Deferred | undefined;
  crashed = false;
  readonly #clock: ManualClock;
  readonly #workers: Workers;
  readonly #tracked = new Map<string, StartedAttempt>();

  constructor(clock: ManualClock, workers: Workers) {
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

  /** Attempts whose worker is gone. */
  lost(): void {
    for (const attempt of this.#tracked.values()) {
      if (this.#workers.states.get(attempt.attempt)?.type === "unknown") {
        this.#end(attempt, { type: "lost" });
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
      const runs = this.#workers.start(nameOf(attempt), attempt.attempt);
      if (runs) this.#track(attempt);
      else this.#end(attempt, { type: "notStarted" });
    });
  }

  #track(attempt: StartedAttempt): void {
    this.#tracked.set(attempt.attempt, attempt);
    this.#clock.after(TASK_MS, () => {
      const outcome = this.#workers.end(nameOf(attempt), attempt.attempt);
      if (outcome !== undefined) this.#end(attempt, outcome);
    });
  }

  #end(attempt: StartedAttempt, outcome: AttemptOutcome): void {
    this.#tracked.delete(attempt.attempt);
    if (!this.crashed) void this.deferred?.ended(attempt, outcome);
  }
}

function nameOf({ work, task }: StartedAttempt): string {
  return `${work}/${task}`;
}

class Drill {
  readonly workers = new Workers();
  readonly accepted: string[] = [];
  readonly kinds = new Map<string, string>();
  readonly #clock = new ManualClock();
  readonly #service = new MemoryService(this.#clock);
  readonly #holders: {
    deferred: Deferred;
    store: MemoryStore;
    runner: EagerRunner;
  }[] = [];
  #ids = 0;

  get holder(): Deferred {
    return this.#holders.at(-1)!.deferred;
  }

  async carryOut(
    action: typeof step extends fc.Arbitrary<infer T> ? T : never,
  ) {
    const { store, runner } = this.#holders.at(-1)!;
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
        void this.holder.cancel({ type: "work", id, team: "t" });
        return;
      }
      case "workerFails":
        this.workers.fails = 2;
        return;
      case "workerDies":
        this.workers.die();
        for (const { runner } of this.#holders) runner.lost();
        return;
      case "wait":
        return await this.#clock.run(120);
    }
  }

  async takeOver(): Promise<void> {
    const fence = this.#holders.length + 1;
    const store = new MemoryStore(this.#service);
    const runner = new EagerRunner(this.#clock, this.workers);
    const deferred = new Deferred({
      self: `h${fence}`,
      store,
      clock: this.#clock,
      newId: () => `id${this.#ids++}`,
      workloadOf: workload,
      runner,
      budget: new WriteBudget(this.#clock, { perSecond: 1000, burst: 5 }),
      limits: DEFERRED_LIMITS,
      lost: () => {},
      retired: () => {},
    });
    runner.deferred = deferred;
    const adopted = deferred.adopt("a", fence);
    await this.#clock.run(50);
    (await adopted)._unsafeUnwrap();
    this.#holders.push({ deferred, store, runner });
  }

  async end(): Promise<void> {
    for (const { store } of this.#holders) {
      store.faults.lostReplies = 0;
      store.heal();
    }
    await this.#clock.run(30_000, 50);
  }

  #submit(kind: string): void {
    const submission = { team: "t", workload: kind, payload: "" };
    this.holder.submit(submission).map(({ id }) => {
      this.accepted.push(id);
      this.kinds.set(id, kind);
    });
  }
}

test("one place at a time, once at most, none vanishes", async (t) => {
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 15, maxLength: 50, size: "max" }),
      async (steps) => {
        const drill = new Drill();
        await drill.takeOver();
        for (const action of steps) await drill.carryOut(action);
        await drill.end();
        const { workers } = drill;
        for (const [task, most] of workers.most) t.is(most, 1, task);
        for (const id of drill.accepted) {
          const work = drill.holder.show(id)._unsafeUnwrap();
          seen.add(`${work.workload} ${work.status}`);
          t.false(["waiting", "running"].includes(work.status), id);
          const starts = workers.starts.get(`${id}/0`) ?? 0;
          if (drill.kinds.get(id) === "once") t.true(starts <= 1, id);
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
