import test from "ava";
import fc from "fast-check";
import { DispatchTestCluster } from "../fakes/dispatch_test_cluster.ts";
import type { RunnableTask } from "../ports/runner.ts";

const RUNS = { seed: 20_261_204, numRuns: 200, includeErrorInReport: true };
const INSTANCE_IDS = ["1", "2", "3"];
const WORKER_IDS = ["a", "b", "c"];
const LEASE_MS = 15_000;
const TICK_MS = 250;

const node = fc.constantFrom(...INSTANCE_IDS);
const worker = fc.constantFrom(...WORKER_IDS);
const fault = fc.constantFrom(
  "workerSilent" as const,
  "workerRefused" as const,
  "workerUnreached" as const,
);
const step = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("submit" as const),
      count: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant("run" as const),
      ms: fc.integer({ min: 100, max: 12_000 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constant("finish" as const), worker }),
  },
  fc.record({ type: fc.constant("cut" as const), a: node, b: node }),
  fc.record({ type: fc.constant("heal" as const), a: node, b: node }),
  fc.record({ type: fc.constant("move" as const), worker, node }),
  fc.record({ type: fc.constant("contact" as const), node, on: fc.boolean() }),
  fc.record({ type: fc.constant("start" as const), worker, fault }),
  fc.record({ type: fc.constant("mute" as const), worker }),
  fc.record({ type: fc.constant("mend" as const), worker }),
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Tasks of one origin instance in a test cluster under random faults. */
class ChaosScenario {
  readonly cell = new DispatchTestCluster();
  readonly #open = new Map<string, RunnableTask>();
  readonly #ended = new Set<string>();
  /** Time of the last lease renewal of each attempt, monotonic milliseconds. */
  readonly #renewedAtMs = new Map<string, number>();
  readonly #cuts = new Set<string>();
  #workCount = 0;
  #readOutcomes = 0;

  async start(): Promise<void> {
    await this.cell.start(INSTANCE_IDS, { a: "1", b: "2", c: "3" });
    await this.#run(3_000);
  }

  async apply(step: Step): Promise<void> {
    const { cell } = this;
    switch (step.type) {
      case "submit":
        this.#submit(step.count);
        break;
      case "run":
        return await this.#run(step.ms);
      case "finish":
        this.#finish(step.worker);
        break;
      case "cut":
        if (step.a !== step.b) this.#cut(step.a, step.b);
        break;
      case "heal":
        this.#heal(step.a, step.b);
        break;
      case "move":
        cell.own(step.worker, step.node);
        break;
      case "contact":
        cell.node(step.node).authority.isLeaseValid = step.on;
        break;
      case "start":
        cell.worker(step.worker).faults.set("start", step.fault);
        break;
      case "mute":
        cell.worker(step.worker).faults.set("report", "workerSilent");
        cell.worker(step.worker).faults.set("renew", "workerSilent");
        break;
      case "mend":
        cell.worker(step.worker).faults.clear();
        break;
    }
    await this.#run(TICK_MS);
  }

  /** Clears all faults and lets running tasks succeed; returns the tasks that are still open after 60 s. */
  async recover(): Promise<string[]> {
    const { cell } = this;
    for (const id of WORKER_IDS) cell.worker(id).faults.clear();
    for (const id of INSTANCE_IDS) cell.node(id).authority.isLeaseValid = true;
    for (const a of INSTANCE_IDS) {
      for (const b of INSTANCE_IDS) this.#heal(a, b);
    }
    for (let round = 0; round < 60 && this.#open.size > 0; round++) {
      await this.#run(1_000);
      for (const id of WORKER_IDS) this.#finish(id, Infinity);
    }
    return [...this.#open.keys()];
  }

  async #run(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= TICK_MS) {
      await this.cell.clock.run(Math.min(left, TICK_MS), 50);
      await this.cell.settle(3);
      this.#stopExpired();
      this.#processCompletions();
      this.#checkInvariants();
    }
  }

  #submit(count: number): void {
    const work = `w.${++this.#workCount}`;
    const submittedAt = this.cell.clock.now().getTime();
    const tasks = Array.from({ length: count }, (_, task): RunnableTask => ({
      work,
      task,
      team: "large",
      workload: "billing",
      payload: "",
      submittedAt,
      attempts: 0,
    }));
    for (const task of tasks) this.#open.set(`${work}/${task.task}`, task);
    this.cell.node("1").tasks.enqueue(tasks);
  }

  #finish(id: string, limit = 2): void {
    const worker = this.cell.worker(id);
    const running = [...worker.tasks.values()]
      .filter(({ state }) => state.type === "running");
    for (const { attempt } of running.slice(0, limit)) {
      worker.set(attempt, { type: "succeeded", result: "" });
    }
  }

  #cut(a: string, b: string): void {
    this.cell.network.cut(a, b);
    this.#cuts.add([a, b].sort().join());
    this.#updateAcknowledgements();
  }

  #heal(a: string, b: string): void {
    this.cell.network.heal(a, b);
    this.#cuts.delete([a, b].sort().join());
    this.#updateAcknowledgements();
  }

  #updateAcknowledgements(): void {
    for (const id of INSTANCE_IDS) {
      const cut = this.#cuts.has(["1", id].sort().join());
      this.cell.node(id).acknowledgesCompletions = !cut;
    }
  }

  /** Stops attempts whose lease has expired, and attempts that the worker was requested to stop. */
  #stopExpired(): void {
    const nowMs = this.cell.clock.monotonic();
    for (const id of WORKER_IDS) {
      const worker = this.cell.worker(id);
      for (const attempt of worker.renewed.splice(0)) {
        this.#renewedAtMs.set(attempt, nowMs);
      }
      const stopped = new Set(worker.stopped.splice(0));
      for (const { attempt, state } of worker.tasks.values()) {
        if (state.type !== "running") continue;
        const atMs = this.#renewedAtMs.get(attempt) ?? nowMs;
        this.#renewedAtMs.set(attempt, atMs);
        const isExpired = nowMs - atMs > LEASE_MS;
        if (isExpired || stopped.has(attempt)) {
          worker.set(attempt, { type: "stopped" });
        }
      }
    }
  }

  /** Processes completions as the origin does: tasks that did not succeed are enqueued again. */
  #processCompletions(): void {
    const { attempts } = this.cell.node("1");
    for (const [attempt, type] of attempts.outcomes.slice(this.#readOutcomes)) {
      this.#readOutcomes++;
      this.#complete(attempt, type === "succeeded");
    }
    for (const id of INSTANCE_IDS) {
      const { reportedCompletions, acknowledgesCompletions } = this
        .cell.node(id);
      for (const { attempt, end } of reportedCompletions.splice(0)) {
        if (acknowledgesCompletions) {
          this.#complete(attempt, end.type === "succeeded");
        }
      }
    }
  }

  #complete(attempt: string, succeeded: boolean): void {
    if (this.#ended.has(attempt)) return;
    this.#ended.add(attempt);
    const placement = this.cell.node("1").attempts.started.get(attempt)!;
    const key = `${placement.work}/${placement.task}`;
    const task = this.#open.get(key);
    if (task === undefined) return;
    if (succeeded) return void this.#open.delete(key);
    const again = { ...task, attempts: task.attempts + 1 };
    this.#open.set(key, again);
    this.cell.node("1").tasks.enqueue([again]);
  }

  #checkInvariants(): void {
    const runningByTask = new Map<string, string>();
    for (const id of WORKER_IDS) {
      const running = [...this.cell.worker(id).tasks.values()]
        .filter(({ state }) => state.type === "running");
      if (running.length > 8) throw new TypeError(`${running.length} on ${id}`);
      for (const { attempt, task } of running) {
        const other = runningByTask.get(task);
        if (other !== undefined) {
          throw new TypeError(`${task} runs as ${other} and ${attempt}@${id}`);
        }
        runningByTask.set(task, `${attempt}@${id}`);
      }
    }
  }
}

test("tasks under random faults never run twice at a time and all complete", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 10, maxLength: 40 }),
      async (steps) => {
        const scenario = new ChaosScenario();
        await scenario.start();
        for (const next of steps) await scenario.apply(next);
        const open = await scenario.recover();
        if (open.length > 0) throw new TypeError(`open: ${open.join(" ")}`);
      },
    ),
    RUNS,
  );
  t.pass();
});
