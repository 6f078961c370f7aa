import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { WriteBudget } from "../journal/write_budget.ts";
import type { Workload } from "../operator_set.ts";
import type {
  AttemptState,
  RunnableTask,
  StartedAttempt,
  TaskRunner,
} from "../ports/runner.ts";
import { DeferredWork } from "./deferred_work.ts";
import {
  DEFERRED_WORK_LIMITS,
  type DeferredWorkLimits,
} from "./deferred_options.ts";
import { outcomeOfSubmitFailure } from "./deferred_failures.ts";

const ADVANCE_MS = 2000;

const common = {
  queue: "nightly",
  resources: { cpuMillis: 1000, memoryMib: 64, accelerators: 0, slots: 1 },
  timeoutMs: 60_000,
  attempts: 3,
};

const workloads: Record<string, Workload> = {
  billing: {
    ...common,
    name: "billing",
    kind: "batch",
    idempotent: true,
    dueMs: 0,
  },
  imports: {
    ...common,
    name: "imports",
    kind: "batch",
    idempotent: false,
    dueMs: 0,
  },
  margins: {
    ...common,
    name: "margins",
    kind: "gang",
    idempotent: true,
    tasks: 3,
    dueMs: 0,
  },
};

class RecordingRunner implements TaskRunner {
  readonly queued = new Map<string, RunnableTask>();
  readonly cancelled: StartedAttempt[] = [];
  readonly attemptStates = new Map<string, AttemptState>();
  withdrawals = 0;
  findCalls = 0;

  enqueue(tasks: readonly RunnableTask[]): void {
    for (const task of tasks) {
      this.queued.set(`${task.work}/${task.task}`, task);
    }
  }

  withdraw(works: readonly string[]): void {
    this.withdrawals++;
    const withdrawn = new Set(works);
    for (const [name, task] of this.queued) {
      if (withdrawn.has(task.work)) this.queued.delete(name);
    }
  }

  cancel(attempts: readonly StartedAttempt[]): void {
    this.cancelled.push(...attempts);
  }

  find(attempt: StartedAttempt): ReturnType<TaskRunner["find"]> {
    this.findCalls++;
    const attemptState = this.attemptStates.get(attempt.attempt);
    if (attemptState !== undefined) return okAsync(attemptState);
    return errAsync({
      type: "findPending",
      message: "the lease has not expired",
    });
  }
}

class TestCluster {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  #ids = 0;

  createInstance(self: string, limits: Partial<DeferredWorkLimits> = {}) {
    const store = new MemoryStore(this.service);
    const runner = new RecordingRunner();
    const lost: string[] = [];
    const retired: string[] = [];
    const deferred = new DeferredWork({
      self,
      store,
      clock: this.clock,
      newId: () => `id${this.#ids++}`,
      workloadOf: (name) => workloads[name],
      runner,
      budget: new WriteBudget(this.clock, { perSecond: 100, burst: 5 }),
      limits: { ...DEFERRED_WORK_LIMITS, ...limits },
      onLost: (segment) => lost.push(segment),
      onRetired: (segment) => retired.push(segment),
    });
    return { deferred, store, runner, lost, retired };
  }

  async startInstance(self: string, limits: Partial<DeferredWorkLimits> = {}) {
    const instance = this.createInstance(self, limits);
    const adopted = await this.advanceAndAwait(
      instance.deferred.adopt(self, 1),
    );
    adopted._unsafeUnwrap();
    return instance;
  }

  async advanceAndAwait<T>(pending: PromiseLike<T>): Promise<T> {
    const result = Promise.resolve(pending);
    await this.clock.run(ADVANCE_MS);
    return await result;
  }
}

type TestInstance = Awaited<ReturnType<TestCluster["startInstance"]>>;

async function submit(
  cluster: TestCluster,
  instance: TestInstance,
  options: { workload?: string; count?: number; key?: string } = {},
): Promise<string> {
  const result = await cluster.advanceAndAwait(instance.deferred.submit({
    team: "t",
    workload: options.workload ?? "billing",
    payload: "",
    count: options.count ?? 1,
    ...(options.key === undefined ? {} : { idempotencyKey: options.key }),
  }));
  return result._unsafeUnwrap().id;
}

async function start(
  cluster: TestCluster,
  instance: TestInstance,
  work: string,
  task = 0,
): Promise<string> {
  const placement = { work, task, worker: "w1", fence: 1 };
  const result = await cluster.advanceAndAwait(
    instance.deferred.mayStart(placement),
  );
  return result._unsafeUnwrap();
}

function taskOf(instance: TestInstance, work: string, task = 0) {
  return instance.deferred.show(work)._unsafeUnwrap().tasks[task];
}

test("accepted work is enqueued at the runner", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance, { count: 2 });
  t.deepEqual([...instance.runner.queued.keys()], [`${id}/0`, `${id}/1`]);
});

test("submissions with the same idempotency key create one work item", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const submission = {
    team: "t",
    workload: "billing",
    payload: "",
    idempotencyKey: "k",
  };
  const [first, second] = await cluster.advanceAndAwait(Promise.all([
    instance.deferred.submit(submission),
    instance.deferred.submit(submission),
  ]));
  const third = await cluster.advanceAndAwait(
    instance.deferred.submit(submission),
  );
  t.is(first._unsafeUnwrap().id, second._unsafeUnwrap().id);
  t.is(first._unsafeUnwrap().id, third._unsafeUnwrap().id);
  t.is(instance.deferred.counts().works, 1);
  const other = await cluster.advanceAndAwait(
    instance.deferred.submit({ ...submission, payload: "eA==" }),
  );
  t.is(other._unsafeUnwrapErr().type, "duplicateKey");
});

const completionCases = [
  { workload: "billing", outcome: "failed", times: 1, state: "waiting" },
  { workload: "billing", outcome: "lost", times: 2, state: "waiting" },
  { workload: "billing", outcome: "failed", times: 3, state: "parked" },
  { workload: "billing", outcome: "stopped", times: 5, state: "waiting" },
  { workload: "billing", outcome: "notStarted", times: 5, state: "waiting" },
  { workload: "imports", outcome: "failed", times: 1, state: "parked" },
  { workload: "imports", outcome: "lost", times: 1, state: "parked" },
  { workload: "imports", outcome: "stopped", times: 1, state: "parked" },
  { workload: "imports", outcome: "notStarted", times: 5, state: "waiting" },
  { workload: "imports", outcome: "succeeded", times: 1, state: "succeeded" },
] as const;

for (const { workload, outcome, times, state } of completionCases) {
  test(`${workload}: after ${outcome} ${times} times, the task is ${state}`, async (t) => {
    const cluster = new TestCluster();
    const instance = await cluster.startInstance("a");
    const id = await submit(cluster, instance, { workload });
    for (let time = 0; time < times; time++) {
      const attempt = await start(cluster, instance, id);
      const ended = { work: id, task: 0, attempt };
      await cluster.advanceAndAwait(
        instance.deferred.ended(ended, { type: outcome, detail: "d" }),
      );
    }
    t.is(taskOf(instance, id)?.type, state);
  });
}

test("a resume entry resumes parked work once", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance, { workload: "imports" });
  const resumes = [{ name: "r1", work: id }];
  for (const expected of ["waiting", "parked"]) {
    if (taskOf(instance, id)?.type === "waiting") {
      const attempt = await start(cluster, instance, id);
      const ended = { work: id, task: 0, attempt };
      await cluster.advanceAndAwait(
        instance.deferred.ended(ended, { type: "lost" }),
      );
    }
    t.is(taskOf(instance, id)?.type, "parked");
    t.is(instance.deferred.list("t", { limit: 1 })[0]?.status, "parked");
    instance.deferred.resume(resumes);
    await cluster.clock.run(ADVANCE_MS);
    t.is(taskOf(instance, id)?.type, expected as "waiting" | "parked");
  }
});

test("only one of two concurrent attempts is journalled", async (t) => {
  const cluster = new TestCluster();
  const { deferred, ...instance } = await cluster.startInstance("a");
  const id = await submit(cluster, { deferred, ...instance });
  const results = await cluster.advanceAndAwait(
    Promise.all(
      ["w1", "w2"].map((worker) =>
        deferred.mayStart({ work: id, task: 0, worker, fence: 1 })
      ),
    ),
  );
  t.is(results.filter((result) => result.isOk()).length, 1);
});

test("a cancelled task does not start", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance);
  const cancelling = instance.deferred.cancel({ type: "work", id, team: "t" });
  const placement = { work: id, task: 0, worker: "w1", fence: 1 };
  const result = await cluster.advanceAndAwait(
    instance.deferred.mayStart(placement),
  );
  t.is(result._unsafeUnwrapErr().type, "notWaiting");
  t.is((await cancelling)._unsafeUnwrap(), 1);
  t.is(taskOf(instance, id)?.type, "cancelled");
});

test("an attempt cancelled in the same batch does not start", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance);
  const placement = { work: id, task: 0, worker: "w1", fence: 1 };
  const starting = instance.deferred.mayStart(placement);
  const cancelling = instance.deferred.cancel({ type: "work", id, team: "t" });
  await cluster.clock.run(ADVANCE_MS);
  t.is((await starting)._unsafeUnwrapErr().type, "notWaiting");
  t.true((await cancelling).isOk());
  t.is(taskOf(instance, id)?.type, "cancelled");
});

test("cancelling a running task stops it", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance);
  const attempt = await start(cluster, instance, id);
  await cluster.advanceAndAwait(
    instance.deferred.cancel({ type: "work", id, team: "t" }),
  );
  t.is(instance.runner.cancelled[0]?.attempt, attempt);
  t.is(taskOf(instance, id)?.type, "running");
  const ended = { work: id, task: 0, attempt };
  await cluster.advanceAndAwait(
    instance.deferred.ended(ended, { type: "stopped" }),
  );
  t.is(taskOf(instance, id)?.type, "cancelled");
});

test("a team cannot cancel work of another team", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance);
  const result = await instance.deferred.cancel({
    type: "work",
    id,
    team: "u",
  });
  t.is(result._unsafeUnwrapErr().type, "unknownWork");
});

test("10,000 work items are cancelled in one write", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const submissions = Array.from(
    { length: 10_000 },
    () =>
      instance.deferred.submit({ team: "t", workload: "billing", payload: "" }),
  );
  await cluster.advanceAndAwait(Promise.all(submissions));
  t.is(instance.runner.queued.size, 10_000);
  const callsBefore = cluster.service.calls;
  const target = { type: "wave", team: "t", workload: "billing" } as const;
  const result = await cluster.advanceAndAwait(
    instance.deferred.cancel(target),
  );
  t.is(result._unsafeUnwrap(), 10_000);
  t.true(cluster.service.calls - callsBefore <= 2);
  t.is(instance.runner.queued.size, 0);
  t.is(instance.runner.withdrawals, 1);
});

test("a store outage rejects submissions and retains completions", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance, { count: 2 });
  const attempt = await start(cluster, instance, id, 0);
  instance.store.cut();
  const ended = { work: id, task: 0, attempt };
  const completion = instance.deferred.ended(ended, { type: "succeeded" });
  await cluster.clock.run(60_000);
  t.is(instance.deferred.counts().unwrittenEndings, 1);
  const rejected = await cluster.advanceAndAwait(
    instance.deferred.submit({ team: "t", workload: "billing", payload: "" }),
  );
  const request = { workload: "billing", queue: "nightly" };
  const outcome = outcomeOfSubmitFailure(rejected._unsafeUnwrapErr(), request);
  t.is(outcome.type, "notRun");
  const placement = { work: id, task: 1, worker: "w", fence: 1 };
  const secondStart = await cluster.advanceAndAwait(
    instance.deferred.mayStart(placement),
  );
  t.is(secondStart._unsafeUnwrapErr().type, "storeAway");
  instance.store.heal();
  t.true((await cluster.advanceAndAwait(completion)).isOk());
  t.is(taskOf(instance, id)?.type, "succeeded");
  t.is(instance.deferred.counts().unwrittenEndings, 0);
});

test("pending completions are limited", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a", {
    maxPendingCompletions: 1,
  });
  const id = await submit(cluster, instance, { count: 2 });
  const first = await start(cluster, instance, id, 0);
  const second = await start(cluster, instance, id, 1);
  instance.store.cut();
  const outcome = { type: "succeeded" } as const;
  instance.deferred.ended({ work: id, task: 0, attempt: first }, outcome);
  const rejected = await instance.deferred.ended(
    { work: id, task: 1, attempt: second },
    outcome,
  );
  t.is(rejected._unsafeUnwrapErr().type, "journalFull");
});

test("a submission whose acknowledgement is lost has an unknown outcome", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const get = instance.store.get.bind(instance.store);
  instance.store.faults.lostReplies = 1;
  instance.store.get = (key) => {
    instance.store.cut();
    return get(key);
  };
  const pending = instance.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  await cluster.clock.run(10_000);
  const failure = (await pending)._unsafeUnwrapErr();
  const request = { workload: "billing", queue: "nightly" };
  t.is(outcomeOfSubmitFailure(failure, request).type, "unknown");
  instance.store.get = get;
  instance.store.heal();
  await cluster.clock.run(ADVANCE_MS);
  t.is(instance.deferred.counts().works, 1);
});

const recoveryCases = [
  { workload: "billing", attemptState: { type: "running" }, state: "running" },
  { workload: "billing", attemptState: { type: "unknown" }, state: "waiting" },
  { workload: "imports", attemptState: { type: "unknown" }, state: "parked" },
  {
    workload: "imports",
    attemptState: { type: "neverStarted" },
    state: "waiting",
  },
  {
    workload: "imports",
    attemptState: {
      type: "ended",
      outcome: { type: "succeeded", result: "eA==" },
    },
    state: "succeeded",
  },
] as const;

for (const { workload, attemptState, state } of recoveryCases) {
  test(`${workload}: an adopted attempt found as ${attemptState.type} leaves the task ${state}`, async (t) => {
    const cluster = new TestCluster();
    const previous = await cluster.startInstance("a");
    const id = await submit(cluster, previous, { workload });
    const attempt = await start(cluster, previous, id);
    const successor = await cluster.startInstance("b");
    await cluster.advanceAndAwait(successor.deferred.adopt("a", 2));
    t.is(successor.runner.queued.size, 0);
    t.is(successor.deferred.counts().unsettledAttempts, 1);
    successor.runner.attemptStates.set(attempt, attemptState);
    await cluster.clock.run(ADVANCE_MS);
    t.is(taskOf(successor, id)?.type, state);
    t.is(successor.deferred.counts().unsettledAttempts, 0);
    t.is(successor.runner.queued.size, state === "waiting" ? 1 : 0);
  });
}

test("a paused previous owner starts nothing", async (t) => {
  const cluster = new TestCluster();
  const previous = await cluster.startInstance("a");
  const id = await submit(cluster, previous);
  const successor = await cluster.startInstance("b");
  await cluster.advanceAndAwait(successor.deferred.adopt("a", 2));
  const placement = { work: id, task: 0, worker: "w", fence: 1 };
  const late = await cluster.advanceAndAwait(
    previous.deferred.mayStart(placement),
  );
  t.is(late._unsafeUnwrapErr().type, "segmentLost");
  t.deepEqual(previous.lost, ["a"]);
  t.is(previous.runner.queued.size, 0);
  t.is(previous.deferred.counts().segments, 0);
  t.true(
    (await cluster.advanceAndAwait(successor.deferred.mayStart(placement)))
      .isOk(),
  );
});

test("only one of two concurrent adoptions succeeds", async (t) => {
  const cluster = new TestCluster();
  const previous = await cluster.startInstance("a");
  await submit(cluster, previous);
  const instances = ["b", "c"].map((self) => cluster.createInstance(self));
  const results = await cluster.advanceAndAwait(Promise.all(
    instances.map((instance) => instance.deferred.adopt("a", 2)),
  ));
  t.is(results.filter((result) => result.isOk()).length, 1);
  const queued = instances.map((instance) => instance.runner.queued.size);
  t.deepEqual(queued.sort(), [0, 1]);
});

test("work survives a crash between the write and its acknowledgement", async (t) => {
  const cluster = new TestCluster();
  const previous = await cluster.startInstance("a");
  previous.store.faults.lostReplies = 1;
  previous.store.get = () =>
    errAsync({
      type: "storeUnreachable",
      message: "the process has crashed",
    });
  const submission = {
    team: "t",
    workload: "billing",
    payload: "",
    idempotencyKey: "k",
  };
  previous.deferred.submit(submission);
  await cluster.clock.run(100);
  const successor = await cluster.startInstance("b");
  await cluster.advanceAndAwait(successor.deferred.adopt("a", 2));
  t.is(successor.runner.queued.size, 1);
  const again = await cluster.advanceAndAwait(
    successor.deferred.submit(submission),
  );
  t.is(again._unsafeUnwrap().id, "a.0");
});

test("stopping flushes queued records", async (t) => {
  const cluster = new TestCluster();
  const previous = await cluster.startInstance("a");
  const pending = previous.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  await cluster.advanceAndAwait(previous.deferred.stop());
  t.true((await pending).isOk());
  const late = await previous.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  t.is(late._unsafeUnwrapErr().type, "stopping");
  const successor = await cluster.startInstance("b");
  await cluster.advanceAndAwait(successor.deferred.adopt("a", 2));
  t.is(successor.runner.queued.size, 1);
});

test("a segment can be adopted again while it is being released", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  await submit(cluster, instance);
  instance.store.faults.latencyMs = 500;
  const submission = { team: "t", workload: "billing", payload: "" };
  const pending = instance.deferred.submit(submission);
  await cluster.clock.run(50);
  instance.store.faults.latencyMs = 0;
  const released = instance.deferred.release("a");
  const adopted = await instance.deferred.adopt("a", 2);
  t.true(adopted.isOk());
  await cluster.advanceAndAwait(released);
  t.true((await pending).isOk());
  t.is(instance.runner.queued.size, 2);
});

test("a gang starts together and restarts together", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance, { workload: "margins" });
  t.is(instance.runner.queued.get(`${id}/0`)?.gangSize, 3);
  instance.runner.queued.clear();
  const placements = [0, 1, 2].map((task) => ({
    work: id,
    task,
    worker: "w",
    fence: 1,
  }));
  const started = await cluster.advanceAndAwait(
    instance.deferred.mayStartTogether(placements),
  );
  const attempts = started._unsafeUnwrap();
  const end = (task: number, type: "failed" | "stopped") =>
    cluster.advanceAndAwait(instance.deferred.ended(
      { work: id, task, attempt: attempts[task] ?? "" },
      { type, detail: "d" },
    ));
  await end(1, "failed");
  t.deepEqual(instance.runner.cancelled.map(({ task }) => task), [0, 2]);
  t.is(instance.runner.queued.size, 0);
  await end(0, "stopped");
  await end(2, "stopped");
  t.is(instance.runner.queued.size, 3);
});

test("a failed gang restarts only the tasks that did not succeed", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a");
  const id = await submit(cluster, instance, { workload: "margins" });
  const placements = [0, 1, 2].map((task) => ({
    work: id,
    task,
    worker: "w",
    fence: 1,
  }));
  const attempts = (await cluster.advanceAndAwait(
    instance.deferred.mayStartTogether(placements),
  ))._unsafeUnwrap();
  instance.runner.queued.clear();
  const outcomes = ["failed", "stopped", "succeeded"] as const;
  for (const [task, type] of outcomes.entries()) {
    const attempt = attempts[task] ?? "";
    await cluster.advanceAndAwait(
      instance.deferred.ended({ work: id, task, attempt }, {
        type,
        detail: "",
      }),
    );
  }
  t.is(instance.runner.queued.size, 2);
});

test("results are shown, limited in size and removed after the retention time", async (t) => {
  const cluster = new TestCluster();
  const limits = { retentionMs: 100_000, sweepIntervalMs: 10_000 };
  const instance = await cluster.startInstance("a", limits);
  const id = await submit(cluster, instance, { count: 2 });
  for (const [task, size] of [[0, 10], [1, 20_000]] as const) {
    const attempt = await start(cluster, instance, id, task);
    const result = "x".repeat(size);
    await cluster.advanceAndAwait(instance.deferred.ended(
      { work: id, task, attempt },
      { type: "succeeded", result },
    ));
  }
  t.deepEqual(taskOf(instance, id, 0), {
    type: "succeeded",
    result: "x".repeat(10),
  });
  t.deepEqual(taskOf(instance, id, 1), {
    type: "succeeded",
    omittedBytes: 20_000,
  });
  t.is(instance.deferred.show(id)._unsafeUnwrap().status, "finished");
  await cluster.clock.run(120_000, 1000);
  t.is(instance.deferred.show(id)._unsafeUnwrapErr().type, "unknownWork");
});

test("an empty adopted segment is deleted", async (t) => {
  const cluster = new TestCluster();
  const previous = await cluster.startInstance("a");
  const id = await submit(cluster, previous);
  await cluster.advanceAndAwait(
    previous.deferred.cancel({ type: "work", id, team: "t" }),
  );
  const limits = { retentionMs: 1000, sweepIntervalMs: 1000 };
  const successor = await cluster.startInstance("b", limits);
  await cluster.advanceAndAwait(successor.deferred.adopt("a", 2));
  await cluster.clock.run(10_000, 100);
  t.deepEqual(successor.retired, ["a"]);
  const remainingKeys = [...cluster.service.rows.keys()].filter((key) =>
    key.startsWith("zinniapoint/journal/a/")
  );
  t.deepEqual(remainingKeys, []);
});

test("a full instance rejects submissions without storing them", async (t) => {
  const cluster = new TestCluster();
  const instance = await cluster.startInstance("a", { maxBytes: 1000 });
  const results = [];
  for (let count = 0; count < 10; count++) {
    results.push(
      await cluster.advanceAndAwait(
        instance.deferred.submit({
          team: "t",
          workload: "billing",
          payload: "",
        }),
      ),
    );
  }
  const rejected = results.filter((result) => result.isErr());
  t.true(rejected.length > 0);
  t.true(rejected.every((result) => result.error.type === "journalFull"));
  t.is(instance.deferred.counts().works, 10 - rejected.length);
});

test("a full instance removes finished work past the minimum retention", async (t) => {
  const cluster = new TestCluster();
  const limits = { maxBytes: 1000, minRetentionMs: 100_000 };
  const instance = await cluster.startInstance("a", limits);
  const submission = { team: "t", workload: "billing", payload: "" };
  for (let full = false; !full;) {
    const result = await cluster.advanceAndAwait(
      instance.deferred.submit(submission),
    );
    full = result.isErr();
  }
  const target = { type: "wave", team: "t", workload: "billing" } as const;
  await cluster.advanceAndAwait(instance.deferred.cancel(target));
  t.true(
    (await cluster.advanceAndAwait(instance.deferred.submit(submission)))
      .isErr(),
  );
  await cluster.clock.run(100_000, 1000);
  t.true(
    (await cluster.advanceAndAwait(instance.deferred.submit(submission)))
      .isOk(),
  );
});
