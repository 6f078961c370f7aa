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

/** A cell under random faults, with what its workers really run. */
class Trial {
  readonly cell = new DispatchTestCluster();
  readonly #outcomes = new Map<string, Outcome>();
  readonly #idempotent = new Map<string, boolean>();
  /** Requests whose connections are gone and that still run. */
  readonly #ghosts = new Map<string, PendingRequest[]>();
  #count = 0;

  async start(): Promise<void> {
    const { cell } = this;
    await cell.start(NODES, { a: "1", b: "2", c: "3" });
    for (const id of WORKERS) {
      cell.worker(id).holdsRequests = true;
      cell.worker(id).countRequests = () => this.#running(id);
    }
    for (const id of NODES) cell.node(id).allowances.limits.set("large", LIMIT);
    await cell.run(3_000);
  }

  async take(step: Step): Promise<void> {
    const { cell } = this;
    switch (step.type) {
      case "submit":
        for (let index = 0; index < step.count; index++) this.#submit(step);
        break;
      case "finish":
        this.#finish(step.worker, step.as);
        break;
      case "run":
        await cell.clock.run(step.ms, 50);
        break;
      case "cut":
        if (step.a !== step.b) cell.network.cut(step.a, step.b);
        break;
      case "heal":
        cell.network.heal(step.a, step.b);
        break;
      case "move":
        cell.own(step.worker, step.node);
        break;
      case "contact":
        cell.node(step.node).authority.isLeaseValid = step.on;
        break;
      case "abandon":
        cell.node(step.node).requests.abandon(`r${this.#count}`);
        break;
      case "unseen":
        this.#ghosts.get(step.worker)?.shift();
        break;
    }
    await cell.settle(4);
  }

  /** Lets every fault end and every request run out. */
  async end(): Promise<void> {
    const { cell } = this;
    for (const id of NODES) cell.node(id).authority.isLeaseValid = true;
    for (const a of NODES) for (const b of NODES) cell.network.heal(a, b);
    for (let round = 0; round < 12; round++) {
      for (const id of WORKERS) {
        this.#ghosts.delete(id);
        while (cell.worker(id).pending.length > 0) this.#finish(id, "answer");
      }
      await cell.clock.run(1_000, 100);
    }
  }

  /** What is wrong, if anything. */
  fault(): string | undefined {
    const { cell } = this;
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
      const { allowances } = cell.node(id);
      const running = allowances.running("large");
      if (running < 0 || running > LIMIT) return `${running} allowed at ${id}`;
    }
    return undefined;
  }

  /** What is left over at the end, if anything. */
  rest(): string | undefined {
    for (const id of NODES) {
      const { allowances, pool, requests } = this.cell.node(id);
      if (requests.inFlight > 0) return `${requests.inFlight} open at ${id}`;
      const running = allowances.running("large");
      if (running !== 0) return `${running} allowed at ${id}`;
      for (const worker of pool.ids()) {
        const slots = pool.taken(worker)?.slots ?? 0;
        if (slots !== 0) return `${slots} taken on ${worker} at ${id}`;
      }
    }
    return undefined;
  }

  #submit(step: Extract<Step, { type: "submit" }>): void {
    const id = `r${++this.#count}`;
    const { idempotent } = step;
    this.#idempotent.set(id, idempotent);
    const request = this.cell.request(id, { idempotent, timeoutMs: 2_000 });
    void this.cell.node(step.node).requests.run(request)
      .then((outcome) => this.#outcomes.set(id, outcome));
  }

  #finish(
    id: string,
    as: "answer" | "silent" | "refused" | "unreached",
  ): void {
    const worker = this.cell.worker(id);
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
        this.#ghosts.set(id, [...this.#ghosts.get(id) ?? [], held]);
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
    return this.cell.worker(id).pending.length +
      (this.#ghosts.get(id)?.length ?? 0);
  }

  #runs(): Map<string, number> {
    const runs = new Map<string, number>();
    for (const id of WORKERS) {
      for (const { path } of this.cell.worker(id).executedRequests) {
        const request = path.slice(1);
        runs.set(request, (runs.get(request) ?? 0) + 1);
      }
    }
    return runs;
  }
}

test("dispatch: truthful, never overfilled, nothing left, under any faults", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 10, maxLength: 50 }),
      async (steps) => {
        const trial = new Trial();
        await trial.start();
        for (const next of steps) {
          await trial.take(next);
          const fault = trial.fault();
          if (fault !== undefined) throw new TypeError(fault);
        }
        await trial.end();
        const fault = trial.fault() ?? trial.rest();
        if (fault !== undefined) throw new TypeError(fault);
      },
    ),
    RUNS,
  );
  t.pass();
});
