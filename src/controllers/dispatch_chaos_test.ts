import test from "ava";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { DispatchTestCluster } from "../fakes/dispatch_test_cluster.ts";
import {
  createResponse,
  createWorkerFailure,
  type PendingRequest,
} from "../fakes/memory_upstream.ts";
import type { Outcome } from "../types.ts";

const RUNS = { seed: 20_261_204, numRuns: 60, includeErrorInReport: true };
const NODES = ["1", "2", "3"];
const WORKERS = ["a", "b", "c"];
const SLOTS = 8;
const LIMIT = 12;

const node = fc.constantFrom(...NODES);
const worker = fc.constantFrom(...WORKERS);
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant("submit" as const),
      node,
      idempotent: fc.boolean(),
      count: fc.integer({ min: 1, max: 8 }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant("finish" as const),
      worker,
      as: fc.constantFrom("answer", "silent", "refused", "unreached"),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("run" as const),
      ms: fc.integer({ min: 10, max: 3_000 }),
    }),
  },
  fc.record({ type: fc.constant("cut" as const), a: node, b: node }),
  fc.record({ type: fc.constant("heal" as const), a: node, b: node }),
  fc.record({ type: fc.constant("move" as const), worker, node }),
  fc.record({ type: fc.constant("contact" as const), node, on: fc.boolean() }),
  fc.record({ type: fc.constant("abandon" as const), node }),
  fc.record({ type: fc.constant("unseen" as const), worker }),
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/**
 * A test cluster under random faults, with the requests that its workers really
 * run.
 */
class ChaosRun {
  readonly cluster = new DispatchTestCluster();
  readonly #outcomes = new Map<string, Outcome>();
  readonly #idempotent = new Map<string, boolean>();
  /** Requests that still run after their connections were lost. */
  readonly #orphanedRequests = new Map<string, PendingRequest[]>();
  #count = 0;

  async start(): Promise<void> {
    const { cluster } = this;
    await cluster.start(NODES, { a: "1", b: "2", c: "3" });
    for (const id of WORKERS) {
      cluster.worker(id).holdsRequests = true;
      cluster.worker(id).countRequests = () => this.#running(id);
    }
    for (const id of NODES) {
      cluster.node(id).allowances.limits.set("large", LIMIT);
    }
    await cluster.run(3_000);
  }

  async apply(step: Step): Promise<void> {
    const { cluster } = this;
    switch (step.type) {
      case "submit":
        for (let index = 0; index < step.count; index++) this.#submit(step);
        break;
      case "finish":
        this.#finish(step.worker, step.as);
        break;
      case "run":
        await cluster.clock.run(step.ms, 50);
        break;
      case "cut":
        if (step.a !== step.b) cluster.network.cut(step.a, step.b);
        break;
      case "heal":
        cluster.network.heal(step.a, step.b);
        break;
      case "move":
        cluster.own(step.worker, step.node);
        break;
      case "contact":
        cluster.node(step.node).authority.isLeaseValid = step.on;
        break;
      case "abandon":
        cluster.node(step.node).requests.cancel(`r${this.#count}`);
        break;
      case "unseen":
        this.#orphanedRequests.get(step.worker)?.shift();
        break;
    }
    await cluster.settle(4);
  }

  /** Ends all faults and lets every request finish. */
  async end(): Promise<void> {
    const { cluster } = this;
    for (const id of NODES) cluster.node(id).authority.isLeaseValid = true;
    for (const a of NODES) for (const b of NODES) cluster.network.heal(a, b);
    for (let round = 0; round < 12; round++) {
      for (const id of WORKERS) {
        this.#orphanedRequests.delete(id);
        while (cluster.worker(id).pending.length > 0) {
          this.#finish(id, "answer");
        }
      }
      await cluster.clock.run(1_000, 100);
    }
  }

  /** The invariant that is violated, if any. */
  violation(): string | undefined {
    const { cluster } = this;
    for (const id of WORKERS) {
      const running = this.#running(id);
      if (running > SLOTS) return `${running} run on ${id}`;
    }
    const runs = this.#runs();
    for (const [id, count] of runs) {
      if (count > 1 && !this.#idempotent.get(id)) return `${id} ran twice`;
    }
    for (const [id, { type }] of this.#outcomes) {
      if (type === "notRun" && runs.has(id)) return `${id} ran, told notRun`;
    }
    for (const id of NODES) {
      const { allowances } = cluster.node(id);
      const running = allowances.running("large");
      if (running < 0 || running > LIMIT) return `${running} allowed at ${id}`;
    }
    return undefined;
  }

  /** What is still in flight or reserved at the end, if anything. */
  leftovers(): string | undefined {
    for (const id of NODES) {
      const { allowances, pool, requests } = this.cluster.node(id);
      if (requests.inFlight > 0) return `${requests.inFlight} open at ${id}`;
      const running = allowances.running("large");
      if (running !== 0) return `${running} allowed at ${id}`;
      for (const worker of pool.ids()) {
        const slots = pool.allocated(worker)?.slots ?? 0;
        if (slots !== 0) return `${slots} taken on ${worker} at ${id}`;
      }
    }
    return undefined;
  }

  #submit(step: Extract<Step, { type: "submit" }>): void {
    const id = `r${++this.#count}`;
    const { idempotent } = step;
    this.#idempotent.set(id, idempotent);
    const request = this.cluster.request(id, { idempotent, timeoutMs: 2_000 });
    void this.cluster.node(step.node).requests.run(request)
      .then((outcome) => this.#outcomes.set(id, outcome));
  }

  #finish(
    id: string,
    as: "answer" | "silent" | "refused" | "unreached",
  ): void {
    const worker = this.cluster.worker(id);
    const held = worker.pending.shift();
    if (held === undefined) return;
    const notRun = () =>
      worker.executedRequests.splice(
        worker.executedRequests.indexOf(held.request),
        1,
      );
    switch (as) {
      case "answer":
        return held.finish(ok(createResponse()));
      case "silent":
        this.#orphanedRequests.set(id, [
          ...this.#orphanedRequests.get(id) ?? [],
          held,
        ]);
        return held.finish(err(createWorkerFailure("workerSilent")));
      case "refused":
        notRun();
        return held.finish(err(createWorkerFailure("workerRefused")));
      case "unreached":
        notRun();
        return held.finish(err(createWorkerFailure("workerUnreached")));
    }
  }

  #running(id: string): number {
    return this.cluster.worker(id).pending.length +
      (this.#orphanedRequests.get(id)?.length ?? 0);
  }

  #runs(): Map<string, number> {
    const runs = new Map<string, number>();
    for (const id of WORKERS) {
      for (const { path } of this.cluster.worker(id).executedRequests) {
        const request = path.slice(1);
        runs.set(request, (runs.get(request) ?? 0) + 1);
      }
    }
    return runs;
  }
}

test("dispatch: under random faults, outcomes are correct, workers never overfull, and nothing stays reserved", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 10, maxLength: 50 }),
      async (steps) => {
        const trial = new ChaosRun();
        await trial.start();
        for (const next of steps) {
          await trial.apply(next);
          const fault = trial.violation();
          if (fault !== undefined) throw new TypeError(fault);
        }
        await trial.end();
        const fault = trial.violation() ?? trial.leftovers();
        if (fault !== undefined) throw new TypeError(fault);
      },
    ),
    RUNS,
  );
  t.pass();
});
