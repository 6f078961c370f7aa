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
  /** Members that count it. */
  readonly counted: Set<ClusterNode>;
}

/** A cluster under load, with the workers' own record of what runs. */
class Bench {
  readonly cluster: MemoryCluster;
  work: Work[] = [];
  mostRunning = 0;
  #started = 0;

  constructor(seed: number) {
    const units = [...WORKERS, `team:${TEAM}`];
    const limits = new Map([[TEAM, LIMIT]]);
    this.cluster = new MemoryCluster({ units, limits, seed });
    this.cluster.network.latencyMs = 2;
    for (let at = 0; at < 5; at++) this.startOne();
  }

  startOne(): void {
    this.cluster.start(String(++this.#started));
  }

  async run(milliseconds: number, load = true): Promise<void> {
    for (let left = milliseconds; left > 0; left -= 50) {
      await this.cluster.run(Math.min(left, 50), 25);
      this.#endWork();
      for (const node of this.cluster.nodes.values()) {
        this.#settle(node);
        if (load) this.#startWork(node);
      }
      this.mostRunning = Math.max(this.mostRunning, this.work.length);
    }
  }

  /** What one member can have running at once. */
  async capacity(node: ClusterNode): Promise<number> {
    let taken = 0;
    for (let ask = 0; ask < 2 * LIMIT; ask++) {
      node.limits.take(TEAM, 8_000).map(() => taken++);
    }
    await this.run(10_000, false);
    return taken;
  }

  #startWork(node: ClusterNode): void {
    const now = this.cluster.clock.monotonic();
    for (const unit of node.ownership.owned("worker:")) {
      const wants = this.cluster.random() < 0.3;
      if (!wants || !node.ownership.mayDecide(unit)) continue;
      node.limits.take(TEAM, 300).map(() => {
        if (!node.ownership.mayDecide(unit)) return node.limits.give(TEAM);
        const endsAtMs = now + 200 + 3_000 * this.cluster.random();
        this.work.push({ unit, endsAtMs, counted: new Set([node]) });
        this.mostRunning = Math.max(this.mostRunning, this.work.length);
      });
    }
  }

  #settle(node: ClusterNode): void {
    for (const unit of node.limits.unsettled()) {
      for (const work of this.work) {
        if (work.unit !== unit || work.counted.has(node)) continue;
        work.counted.add(node);
        node.limits.adopt(TEAM, 1);
      }
      node.limits.settle(unit);
    }
  }

  #endWork(): void {
    const now = this.cluster.clock.monotonic();
    const ended = this.work.filter((work) => work.endsAtMs <= now);
    this.work = this.work.filter((work) => work.endsAtMs > now);
    for (const { counted } of ended) {
      for (const node of counted) node.limits.give(TEAM);
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

interface Step {
  readonly fault: typeof FAULTS[number];
  readonly at: number;
  readonly forMs: number;
}

const paused = new WeakMap<Bench, Set<string>>();

function carryOut(bench: Bench, { fault, at }: Step): void {
  const { cluster } = bench;
  const ids = [...cluster.nodes.keys()];
  const id = ids[at % ids.length]!;
  const asleep = paused.get(bench) ?? new Set<string>();
  paused.set(bench, asleep);
  switch (fault) {
    case "crash":
    case "kill":
      if (ids.length <= 2) return;
      cluster[fault](id);
      asleep.delete(id);
      return;
    case "pause":
      cluster.pause(id);
      asleep.add(id);
      return;
    case "resumeAll":
      return resumeAll(bench);
    case "isolate":
      return cluster.isolate(id);
    case "cutStore":
      return cluster.cutStore([id]);
    case "cutStoreOfAll":
      return cluster.cutStore();
    case "split":
      return split(cluster, at);
    case "healAll":
      return healAll(bench);
    case "loseAnswers":
      cluster.node(id).store.faults.lostReplies = 2;
      return;
    case "start":
      if (ids.length < 9) bench.startOne();
      return;
    case "leave":
      if (ids.length > 2 && !asleep.has(id)) cluster.node(id).ownership.leave();
  }
}

function split(cluster: MemoryCluster, at: number): void {
  const ids = [...cluster.nodes.keys()];
  const side = new Set(ids.filter((_, index) => (at >> index) % 2 === 1));
  for (const a of side) {
    for (const b of ids) if (!side.has(b)) cluster.network.cut(a, b);
  }
}

function resumeAll(bench: Bench): void {
  const asleep = paused.get(bench)!;
  for (const id of asleep) bench.cluster.resume(id);
  asleep.clear();
}

function healAll(bench: Bench): void {
  const { cluster } = bench;
  cluster.healStore();
  const ids = [...cluster.nodes.keys()];
  for (const a of ids) for (const b of ids) cluster.network.heal(a, b);
  resumeAll(bench);
}

/** Ends every fault; the platform replaces whoever left or died. */
async function recover(bench: Bench): Promise<void> {
  healAll(bench);
  const { cluster } = bench;
  for (const [id, node] of [...cluster.nodes]) {
    if (!node.membership.running) cluster.kill(id);
  }
  const live = new Set(
    [...cluster.nodes.values()].map((node) => node.instance.peerAddress),
  );
  cluster.list.instances = cluster.list.instances
    .filter((listed) => live.has(listed.peerAddress));
  bench.startOne();
  bench.startOne();
  await bench.run(150_000);
}

const step = fc.record({
  fault: fc.constantFrom(...FAULTS),
  at: fc.nat({ max: 63 }),
  forMs: fc.integer({ min: 50, max: 12_000 }),
});

test("any faults: one decider a unit, never over a limit; all in use again after", async (t) => {
  t.timeout(300_000);
  t.log(`seed ${SEED}`);
  const sequences = fc.array(step, { minLength: 3, maxLength: 14 });
  await fc.assert(
    fc.asyncProperty(sequences, fc.nat(), async (sequence, seed) => {
      const bench = new Bench(seed);
      await bench.run(8_000);
      for (const each of sequence) {
        carryOut(bench, each);
        await bench.run(each.forMs);
        if (bench.cluster.maxDeciders > 1) throw new Error("two deciders");
        if (bench.mostRunning > LIMIT) throw new Error("over the limit");
      }
      await recover(bench);
      if (bench.cluster.maxDeciders > 1) throw new Error("two deciders, late");
      if (bench.mostRunning > LIMIT) throw new Error("over the limit, late");
      const idle = bench.cluster.unserved();
      if (idle.length > 0) throw new Error(`idle: ${idle}`);
      await bench.run(8_000, false);
      const capacity = await bench.capacity(
        [...bench.cluster.nodes.values()][0]!,
      );
      if (capacity !== LIMIT) throw new Error(`capacity ${capacity}`);
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
