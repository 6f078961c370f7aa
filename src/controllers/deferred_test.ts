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
import { Deferred } from "./deferred.ts";
import { DEFERRED_LIMITS, type DeferredLimits } from "./deferred_options.ts";
import { submitOutcome } from "./deferred_failures.ts";

const SETTLE_MS = 2000;

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
  readonly findings = new Map<string, AttemptState>();
  withdrawals = 0;
  asked = 0;

  enqueue(tasks: readonly RunnableTask[]): void {
    for (const task of tasks) {
      this.queued.set(`${task.work}/${task.task}`, task);
    }
  }

  withdraw(works: readonly string[]): void {
    this.withdrawals++;
    const gone = new Set(works);
    for (const [name, task] of this.queued) {
      if (gone.has(task.work)) this.queued.delete(name);
    }
  }

  cancel(attempts: readonly StartedAttempt[]): void {
    this.cancelled.push(...attempts);
  }

  find(attempt: StartedAttempt): ReturnType<TaskRunner["find"]> {
    this.asked++;
    const finding = this.findings.get(attempt.attempt);
    if (finding !== undefined) return okAsync(finding);
    return errAsync({ type: "findPending", message: "lease not over" });
  }
}

class Bench {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  #ids = 0;

  member(self: string, limits: Partial<DeferredLimits> = {}) {
    const store = new MemoryStore(this.service);
    const runner = new RecordingRunner();
    const lost: string[] = [];
    const retired: string[] = [];
    const deferred = new Deferred({
      self,
      store,
      clock: this.clock,
      newId: () => `id${this.#ids++}`,
      workloadOf: (name) => workloads[name],
      runner,
      budget: new WriteBudget(this.clock, { perSecond: 100, burst: 5 }),
      limits: { ...DEFERRED_LIMITS, ...limits },
      lost: (segment) => lost.push(segment),
      retired: (segment) => retired.push(segment),
    });
    return { deferred, store, runner, lost, retired };
  }

  async opened(self: string, limits: Partial<DeferredLimits> = {}) {
    const member = this.member(self, limits);
    const adopted = await this.settle(member.deferred.adopt(self, 1));
    adopted._unsafeUnwrap();
    return member;
  }

  async settle<T>(pending: PromiseLike<T>): Promise<T> {
    const started = Promise.resolve(pending);
    await this.clock.run(SETTLE_MS);
    return await started;
  }
}

type Member = Awaited<ReturnType<Bench["opened"]>>;

async function submit(
  bench: Bench,
  member: Member,
  options: { workload?: string; count?: number; key?: string } = {},
): Promise<string> {
  const result = await bench.settle(member.deferred.submit({
    team: "t",
    workload: options.workload ?? "billing",
    payload: "",
    count: options.count ?? 1,
    ...(options.key === undefined ? {} : { idempotencyKey: options.key }),
  }));
  return result._unsafeUnwrap().id;
}

async function start(
  bench: Bench,
  member: Member,
  work: string,
  task = 0,
): Promise<string> {
  const placement = { work, task, worker: "w1", fence: 1 };
  const result = await bench.settle(member.deferred.mayStart(placement));
  return result._unsafeUnwrap();
}

function taskOf(member: Member, work: string, task = 0) {
  return member.deferred.show(work)._unsafeUnwrap().tasks[task];
}

test("accepted work reaches the runner", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member, { count: 2 });
  t.deepEqual([...member.runner.queued.keys()], [`${id}/0`, `${id}/1`]);
});

test("one key, one work", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const submission = {
    team: "t",
    workload: "billing",
    payload: "",
    idempotencyKey: "k",
  };
  const [first, second] = await bench.settle(Promise.all([
    member.deferred.submit(submission),
    member.deferred.submit(submission),
  ]));
  const third = await bench.settle(member.deferred.submit(submission));
  t.is(first._unsafeUnwrap().id, second._unsafeUnwrap().id);
  t.is(first._unsafeUnwrap().id, third._unsafeUnwrap().id);
  t.is(member.deferred.counts().works, 1);
  const other = await bench.settle(
    member.deferred.submit({ ...submission, payload: "eA==" }),
  );
  t.is(other._unsafeUnwrapErr().type, "duplicateKey");
});

const endings = [
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

for (const { workload, outcome, times, state } of endings) {
  test(`${workload} ${outcome} ${times} times`, async (t) => {
    const bench = new Bench();
    const member = await bench.opened("a");
    const id = await submit(bench, member, { workload });
    for (let time = 0; time < times; time++) {
      const attempt = await start(bench, member, id);
      const ended = { work: id, task: 0, attempt };
      await bench.settle(
        member.deferred.ended(ended, { type: outcome, detail: "d" }),
      );
    }
    t.is(taskOf(member, id)?.type, state);
  });
}

test("parked work resumes once for each resume", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member, { workload: "imports" });
  const resumes = [{ name: "r1", work: id }];
  for (const expected of ["waiting", "parked"]) {
    if (taskOf(member, id)?.type === "waiting") {
      const attempt = await start(bench, member, id);
      const ended = { work: id, task: 0, attempt };
      await bench.settle(member.deferred.ended(ended, { type: "lost" }));
    }
    t.is(taskOf(member, id)?.type, "parked");
    t.is(member.deferred.list("t", { limit: 1 })[0]?.status, "parked");
    member.deferred.resume(resumes);
    await bench.clock.run(SETTLE_MS);
    t.is(taskOf(member, id)?.type, expected as "waiting" | "parked");
  }
});

test("one attempt of two that race", async (t) => {
  const bench = new Bench();
  const { deferred, ...member } = await bench.opened("a");
  const id = await submit(bench, { deferred, ...member });
  const results = await bench.settle(
    Promise.all(
      ["w1", "w2"].map((worker) =>
        deferred.mayStart({ work: id, task: 0, worker, fence: 1 })
      ),
    ),
  );
  t.is(results.filter((result) => result.isOk()).length, 1);
});

test("a cancelled task does not start", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member);
  const cancelling = member.deferred.cancel({ type: "work", id, team: "t" });
  const placement = { work: id, task: 0, worker: "w1", fence: 1 };
  const result = await bench.settle(member.deferred.mayStart(placement));
  t.is(result._unsafeUnwrapErr().type, "notWaiting");
  t.is((await cancelling)._unsafeUnwrap(), 1);
  t.is(taskOf(member, id)?.type, "cancelled");
});

test("a start followed by a cancellation in one batch", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member);
  const placement = { work: id, task: 0, worker: "w1", fence: 1 };
  const starting = member.deferred.mayStart(placement);
  const cancelling = member.deferred.cancel({ type: "work", id, team: "t" });
  await bench.clock.run(SETTLE_MS);
  t.is((await starting)._unsafeUnwrapErr().type, "notWaiting");
  t.true((await cancelling).isOk());
  t.is(taskOf(member, id)?.type, "cancelled");
});

test("a running task that is cancelled is stopped", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member);
  const attempt = await start(bench, member, id);
  await bench.settle(
    member.deferred.cancel({ type: "work", id, team: "t" }),
  );
  t.is(member.runner.cancelled[0]?.attempt, attempt);
  t.is(taskOf(member, id)?.type, "running");
  const ended = { work: id, task: 0, attempt };
  await bench.settle(member.deferred.ended(ended, { type: "stopped" }));
  t.is(taskOf(member, id)?.type, "cancelled");
});

test("another team cannot cancel", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member);
  const result = await member.deferred.cancel({ type: "work", id, team: "u" });
  t.is(result._unsafeUnwrapErr().type, "unknownWork");
});

test("a wave of 10,000 cancellations is one write", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const submissions = Array.from(
    { length: 10_000 },
    () =>
      member.deferred.submit({ team: "t", workload: "billing", payload: "" }),
  );
  await bench.settle(Promise.all(submissions));
  t.is(member.runner.queued.size, 10_000);
  const before = bench.service.calls;
  const wave = { type: "wave", team: "t", workload: "billing" } as const;
  const result = await bench.settle(member.deferred.cancel(wave));
  t.is(result._unsafeUnwrap(), 10_000);
  t.true(bench.service.calls - before <= 2);
  t.is(member.runner.queued.size, 0);
  t.is(member.runner.withdrawals, 1);
});

test("an outage refuses submissions and keeps endings", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member, { count: 2 });
  const attempt = await start(bench, member, id, 0);
  member.store.cut();
  const ended = { work: id, task: 0, attempt };
  const ending = member.deferred.ended(ended, { type: "succeeded" });
  await bench.clock.run(60_000);
  t.is(member.deferred.counts().unwrittenEndings, 1);
  const refused = await bench.settle(
    member.deferred.submit({ team: "t", workload: "billing", payload: "" }),
  );
  const request = { workload: "billing", queue: "nightly" };
  const outcome = submitOutcome(refused._unsafeUnwrapErr(), request);
  t.is(outcome.type, "notRun");
  const placement = { work: id, task: 1, worker: "w", fence: 1 };
  const start2 = await bench.settle(member.deferred.mayStart(placement));
  t.is(start2._unsafeUnwrapErr().type, "storeAway");
  member.store.heal();
  t.true((await bench.settle(ending)).isOk());
  t.is(taskOf(member, id)?.type, "succeeded");
  t.is(member.deferred.counts().unwrittenEndings, 0);
});

test("endings that wait are bounded", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a", { endings: 1 });
  const id = await submit(bench, member, { count: 2 });
  const first = await start(bench, member, id, 0);
  const second = await start(bench, member, id, 1);
  member.store.cut();
  const outcome = { type: "succeeded" } as const;
  member.deferred.ended({ work: id, task: 0, attempt: first }, outcome);
  const refused = await member.deferred.ended(
    { work: id, task: 1, attempt: second },
    outcome,
  );
  t.is(refused._unsafeUnwrapErr().type, "journalFull");
});

test("a submission whose answer stays lost is unknown", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const get = member.store.get.bind(member.store);
  member.store.faults.lostReplies = 1;
  member.store.get = (key) => {
    member.store.cut();
    return get(key);
  };
  const pending = member.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  await bench.clock.run(10_000);
  const failure = (await pending)._unsafeUnwrapErr();
  const request = { workload: "billing", queue: "nightly" };
  t.is(submitOutcome(failure, request).type, "unknown");
  member.store.get = get;
  member.store.heal();
  await bench.clock.run(SETTLE_MS);
  t.is(member.deferred.counts().works, 1);
});

const findings = [
  { workload: "billing", finding: { type: "running" }, state: "running" },
  { workload: "billing", finding: { type: "unknown" }, state: "waiting" },
  { workload: "imports", finding: { type: "unknown" }, state: "parked" },
  { workload: "imports", finding: { type: "neverStarted" }, state: "waiting" },
  {
    workload: "imports",
    finding: { type: "ended", outcome: { type: "succeeded", result: "eA==" } },
    state: "succeeded",
  },
] as const;

for (const { workload, finding, state } of findings) {
  test(`adopted ${workload} found ${finding.type}`, async (t) => {
    const bench = new Bench();
    const former = await bench.opened("a");
    const id = await submit(bench, former, { workload });
    const attempt = await start(bench, former, id);
    const next = await bench.opened("b");
    await bench.settle(next.deferred.adopt("a", 2));
    t.is(next.runner.queued.size, 0);
    t.is(next.deferred.counts().unsettledAttempts, 1);
    next.runner.findings.set(attempt, finding);
    await bench.clock.run(SETTLE_MS);
    t.is(taskOf(next, id)?.type, state);
    t.is(next.deferred.counts().unsettledAttempts, 0);
    t.is(next.runner.queued.size, state === "waiting" ? 1 : 0);
  });
}

test("a paused former holder starts nothing", async (t) => {
  const bench = new Bench();
  const former = await bench.opened("a");
  const id = await submit(bench, former);
  const next = await bench.opened("b");
  await bench.settle(next.deferred.adopt("a", 2));
  const placement = { work: id, task: 0, worker: "w", fence: 1 };
  const late = await bench.settle(former.deferred.mayStart(placement));
  t.is(late._unsafeUnwrapErr().type, "segmentLost");
  t.deepEqual(former.lost, ["a"]);
  t.is(former.runner.queued.size, 0);
  t.is(former.deferred.counts().segments, 0);
  t.true((await bench.settle(next.deferred.mayStart(placement))).isOk());
});

test("two race to adopt, one holds", async (t) => {
  const bench = new Bench();
  const former = await bench.opened("a");
  await submit(bench, former);
  const members = ["b", "c"].map((self) => bench.member(self));
  const results = await bench.settle(Promise.all(
    members.map((member) => member.deferred.adopt("a", 2)),
  ));
  t.is(results.filter((result) => result.isOk()).length, 1);
  const queued = members.map((member) => member.runner.queued.size);
  t.deepEqual(queued.sort(), [0, 1]);
});

test("a crash between write and answer keeps the work", async (t) => {
  const bench = new Bench();
  const former = await bench.opened("a");
  former.store.faults.lostReplies = 1;
  former.store.get = () =>
    errAsync({
      type: "storeUnreachable",
      message: "process gone",
    });
  const submission = {
    team: "t",
    workload: "billing",
    payload: "",
    idempotencyKey: "k",
  };
  former.deferred.submit(submission);
  await bench.clock.run(100);
  const next = await bench.opened("b");
  await bench.settle(next.deferred.adopt("a", 2));
  t.is(next.runner.queued.size, 1);
  const again = await bench.settle(next.deferred.submit(submission));
  t.is(again._unsafeUnwrap().id, "a.0");
});

test("a handover writes what is queued", async (t) => {
  const bench = new Bench();
  const former = await bench.opened("a");
  const pending = former.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  await bench.settle(former.deferred.stop());
  t.true((await pending).isOk());
  const late = await former.deferred.submit({
    team: "t",
    workload: "billing",
    payload: "",
  });
  t.is(late._unsafeUnwrapErr().type, "stopping");
  const next = await bench.opened("b");
  await bench.settle(next.deferred.adopt("a", 2));
  t.is(next.runner.queued.size, 1);
});

test("a segment that comes back before its release has ended", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  await submit(bench, member);
  member.store.faults.latencyMs = 500;
  const submission = { team: "t", workload: "billing", payload: "" };
  const pending = member.deferred.submit(submission);
  await bench.clock.run(50);
  member.store.faults.latencyMs = 0;
  const released = member.deferred.release("a");
  const adopted = await member.deferred.adopt("a", 2);
  t.true(adopted.isOk());
  await bench.settle(released);
  t.true((await pending).isOk());
  t.is(member.runner.queued.size, 2);
});

test("a gang starts together and again together", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member, { workload: "margins" });
  t.is(member.runner.queued.get(`${id}/0`)?.gangSize, 3);
  member.runner.queued.clear();
  const placements = [0, 1, 2].map((task) => ({
    work: id,
    task,
    worker: "w",
    fence: 1,
  }));
  const started = await bench.settle(
    member.deferred.mayStartTogether(placements),
  );
  const attempts = started._unsafeUnwrap();
  const end = (task: number, type: "failed" | "stopped") =>
    bench.settle(member.deferred.ended(
      { work: id, task, attempt: attempts[task] ?? "" },
      { type, detail: "d" },
    ));
  await end(1, "failed");
  t.deepEqual(member.runner.cancelled.map(({ task }) => task), [0, 2]);
  t.is(member.runner.queued.size, 0);
  await end(0, "stopped");
  await end(2, "stopped");
  t.is(member.runner.queued.size, 3);
});

test("a gang whose last member succeeded starts the rest", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a");
  const id = await submit(bench, member, { workload: "margins" });
  const placements = [0, 1, 2].map((task) => ({
    work: id,
    task,
    worker: "w",
    fence: 1,
  }));
  const attempts = (await bench.settle(
    member.deferred.mayStartTogether(placements),
  ))._unsafeUnwrap();
  member.runner.queued.clear();
  const outcomes = ["failed", "stopped", "succeeded"] as const;
  for (const [task, type] of outcomes.entries()) {
    const attempt = attempts[task] ?? "";
    await bench.settle(
      member.deferred.ended({ work: id, task, attempt }, { type, detail: "" }),
    );
  }
  t.is(member.runner.queued.size, 2);
});

test("results are shown, bounded, and expire", async (t) => {
  const bench = new Bench();
  const limits = { retentionMs: 100_000, sweepMs: 10_000 };
  const member = await bench.opened("a", limits);
  const id = await submit(bench, member, { count: 2 });
  for (const [task, size] of [[0, 10], [1, 20_000]] as const) {
    const attempt = await start(bench, member, id, task);
    const result = "x".repeat(size);
    await bench.settle(member.deferred.ended(
      { work: id, task, attempt },
      { type: "succeeded", result },
    ));
  }
  t.deepEqual(taskOf(member, id, 0), {
    type: "succeeded",
    result: "x".repeat(10),
  });
  t.deepEqual(taskOf(member, id, 1), {
    type: "succeeded",
    omittedBytes: 20_000,
  });
  t.is(member.deferred.show(id)._unsafeUnwrap().status, "finished");
  await bench.clock.run(120_000, 1000);
  t.is(member.deferred.show(id)._unsafeUnwrapErr().type, "unknownWork");
});

test("an adopted segment that is empty is removed", async (t) => {
  const bench = new Bench();
  const former = await bench.opened("a");
  const id = await submit(bench, former);
  await bench.settle(
    former.deferred.cancel({ type: "work", id, team: "t" }),
  );
  const limits = { retentionMs: 1000, sweepMs: 1000 };
  const next = await bench.opened("b", limits);
  await bench.settle(next.deferred.adopt("a", 2));
  await bench.clock.run(10_000, 100);
  t.deepEqual(next.retired, ["a"]);
  const left = [...bench.service.rows.keys()].filter((key) =>
    key.startsWith("zinniapoint/journal/a/")
  );
  t.deepEqual(left, []);
});

test("a full instance refuses truthfully", async (t) => {
  const bench = new Bench();
  const member = await bench.opened("a", { heldBytes: 1000 });
  const results = [];
  for (let count = 0; count < 10; count++) {
    results.push(
      await bench.settle(
        member.deferred.submit({ team: "t", workload: "billing", payload: "" }),
      ),
    );
  }
  const refused = results.filter((result) => result.isErr());
  t.true(refused.length > 0);
  t.true(refused.every((result) => result.error.type === "journalFull"));
  t.is(member.deferred.counts().works, 10 - refused.length);
});

test("a full instance drops what finished long ago", async (t) => {
  const bench = new Bench();
  const limits = { heldBytes: 1000, shortRetentionMs: 100_000 };
  const member = await bench.opened("a", limits);
  const submission = { team: "t", workload: "billing", payload: "" };
  for (let full = false; !full;) {
    const result = await bench.settle(member.deferred.submit(submission));
    full = result.isErr();
  }
  const wave = { type: "wave", team: "t", workload: "billing" } as const;
  await bench.settle(member.deferred.cancel(wave));
  t.true((await bench.settle(member.deferred.submit(submission))).isErr());
  await bench.clock.run(100_000, 1000);
  t.true((await bench.settle(member.deferred.submit(submission))).isOk());
});
