import test from "ava";
import fc from "fast-check";
import { type ClusterNode, MemoryCluster } from "../fakes/memory_cluster.ts";

const SEED = Number(process.env["CHAOS_SEED"] ?? 20_262);
const RUNS = Number(process.env["CHAOS_RUNS"] ?? 12);
const TEAM = "a";
const LIMIT = 12;
const WORKERS = Array.from({ length: 10 }, (_, at) => `worker:w${at}`);

interface Work {
  readonly unit: string;
  readonly endsAtMs: number;
  /** Members whose accounts include this work. */
  readonly countedBy: Set<ClusterNode>;
}

/** A cluster under load with a record, kept by the workers, of the work that runs. */
class ChaosSetup {
  readonly cluster: MemoryCluster;
  work: Work[] = [];
  maxRunning = 0;
  #started = 0;

  constructor(seed: number) {
    const units = [...WORKERS, `team:${TEAM}`];
    const limits = new Map([[TEAM, LIMIT]]);
    this.cluster = new MemoryCluster({ units, limits, seed });
    this.cluster.network.latencyMs = 2;
    for (let at = 0; at < 5; at++) this.startInstance();
  }

  startInstance(): void {
    this.cluster.start(String(++this.#started));
  }

  async run(milliseconds: number, load = true): Promise<void> {
    for (let remainingMs = milliseconds; remainingMs > 0; remainingMs -= 50) {
      await this.cluster.run(Math.min(remainingMs, 50), 25);
      this.#endFinishedWork();
      for (const node of this.cluster.nodes.values()) {
        this.#countWork(node);
        if (load) this.#startWork(node);
      }
      this.maxRunning = Math.max(this.maxRunning, this.work.length);
    }
  }

  /** Measures how much work one member can have running at once. */
  async capacity(node: ClusterNode): Promise<number> {
    let acquired = 0;
    for (let attempt = 0; attempt < 2 * LIMIT; attempt++) {
      node.limits.acquire(TEAM, 8_000).map(() => acquired++);
    }
    await this.run(10_000, false);
    return acquired;
  }

  #startWork(node: ClusterNode): void {
    const nowMs = this.cluster.clock.monotonic();
    for (const unit of node.ownership.owned("worker:")) {
      const wants = this.cluster.random() < 0.3;
      if (!wants || !node.ownership.mayDecide(unit)) continue;
      node.limits.acquire(TEAM, 300).map(() => {
        if (!node.ownership.mayDecide(unit)) return node.limits.release(TEAM);
        const endsAtMs = nowMs + 200 + 3_000 * this.cluster.random();
        this.work.push({ unit, endsAtMs, countedBy: new Set([node]) });
        this.maxRunning = Math.max(this.maxRunning, this.work.length);
      });
    }
  }

  #countWork(node: ClusterNode): void {
    for (const unit of node.limits.unaccountedUnits()) {
      for (const work of this.work) {
        if (work.unit !== unit || work.countedBy.has(node)) continue;
        work.countedBy.add(node);
        node.limits.adopt(TEAM, 1);
      }
      node.limits.markAccounted(unit);
    }
  }

  #endFinishedWork(): void {
    const nowMs = this.cluster.clock.monotonic();
    const ended = this.work.filter((work) => work.endsAtMs <= nowMs);
    this.work = this.work.filter((work) => work.endsAtMs > nowMs);
    for (const { countedBy } of ended) {
      for (const node of countedBy) node.limits.release(TEAM);
    }
  }
}

const FAULTS = [
  "crash",
  "kill",
  "pause",
  "resumeAll",
  "isolate",
  "cutStore",
  "cutStoreOfAll",
  "split",
  "healAll",
  "loseAnswers",
  "start",
  "leave",
] as const;

interface FaultStep {
  readonly fault: typeof FAULTS[number];
  readonly at: number;
  readonly durationMs: number;
}

const pausedBySetup = new WeakMap<ChaosSetup, Set<string>>();

/** Injects one fault; `at` selects the instance or the partition. */
function injectFault(setup: ChaosSetup, { fault, at }: FaultStep): void {
  const { cluster } = setup;
  const ids = [...cluster.nodes.keys()];
  const id = ids[at % ids.length]!;
  const paused = pausedBySetup.get(setup) ?? new Set<string>();
  pausedBySetup.set(setup, paused);
  switch (fault) {
    case "crash":
    case "kill":
      if (ids.length <= 2) return;
      cluster[fault](id);
      paused.delete(id);
      return;
    case "pause":
      cluster.pause(id);
      paused.add(id);
      return;
    case "resumeAll":
      return resumeAll(setup);
    case "isolate":
      return cluster.isolate(id);
    case "cutStore":
      return cluster.cutStore([id]);
    case "cutStoreOfAll":
      return cluster.cutStore();
    case "split":
      return split(cluster, at);
    case "healAll":
      return healAll(setup);
    case "loseAnswers":
      cluster.node(id).store.faults.lostReplies = 2;
      return;
    case "start":
      if (ids.length < 9) setup.startInstance();
      return;
    case "leave":
      if (ids.length > 2 && !paused.has(id)) cluster.node(id).ownership.leave();
  }
}

/** Partitions the network: bit `index` of `at` selects the side of an instance. */
function split(cluster: MemoryCluster, at: number): void {
  const ids = [...cluster.nodes.keys()];
  const side = new Set(ids.filter((_, index) => (at >> index) % 2 === 1));
  for (const a of side) {
    for (const b of ids) if (!side.has(b)) cluster.network.cut(a, b);
  }
}

function resumeAll(setup: ChaosSetup): void {
  const paused = pausedBySetup.get(setup)!;
  for (const id of paused) setup.cluster.resume(id);
  paused.clear();
}

function healAll(setup: ChaosSetup): void {
  const { cluster } = setup;
  cluster.healStore();
  const ids = [...cluster.nodes.keys()];
  for (const a of ids) for (const b of ids) cluster.network.heal(a, b);
  resumeAll(setup);
}

/** Heals all faults and starts two instances, as the platform replaces members that left or crashed. */
async function healAndReplace(setup: ChaosSetup): Promise<void> {
  healAll(setup);
  const { cluster } = setup;
  for (const [id, node] of [...cluster.nodes]) {
    if (!node.membership.running) cluster.kill(id);
  }
  const live = new Set(
    [...cluster.nodes.values()].map((node) => node.instance.peerAddress),
  );
  cluster.list.instances = cluster.list.instances
    .filter((listed) => live.has(listed.peerAddress));
  setup.startInstance();
  setup.startInstance();
  await setup.run(150_000);
}

const faultStep = fc.record({
  fault: fc.constantFrom(...FAULTS),
  at: fc.nat({ max: 63 }),
  durationMs: fc.integer({ min: 50, max: 12_000 }),
});

test("random faults: each unit has at most one decider, no limit is exceeded, and full capacity returns", async (t) => {
  t.timeout(300_000);
  t.log(`seed ${SEED}`);
  const sequences = fc.array(faultStep, { minLength: 3, maxLength: 14 });
  await fc.assert(
    fc.asyncProperty(sequences, fc.nat(), async (sequence, seed) => {
      const setup = new ChaosSetup(seed);
      await setup.run(8_000);
      for (const each of sequence) {
        injectFault(setup, each);
        await setup.run(each.durationMs);
        if (setup.cluster.maxDeciders > 1) throw new Error("two deciders");
        if (setup.maxRunning > LIMIT) throw new Error("over the limit");
      }
      await healAndReplace(setup);
      if (setup.cluster.maxDeciders > 1) throw new Error("2 deciders at end");
      if (setup.maxRunning > LIMIT) throw new Error("over limit at end");
      const idle = setup.cluster.unserved();
      if (idle.length > 0) throw new Error(`units without a decider: ${idle}`);
      await setup.run(8_000, false);
      const capacity = await setup.capacity(
        [...setup.cluster.nodes.values()][0]!,
      );
      if (capacity !== LIMIT) throw new Error(`capacity at end: ${capacity}`);
    }),
    {
      seed: SEED,
      numRuns: RUNS,
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
  t.pass();
});
