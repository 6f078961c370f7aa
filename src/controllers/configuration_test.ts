import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test, { type ExecutionContext } from "ava";
import { ManualClock } from "../clock.ts";
import { chunkKey, createHead, HEAD_KEY } from "../configuration/head.ts";
import { publish } from "../configuration/publication.ts";
import { MemoryNetwork } from "../fakes/memory_peers.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { silentLog } from "../logger.ts";
import { ConfigurationFeed } from "./configuration.ts";

interface TestNode {
  readonly id: string;
  readonly store: MemoryStore;
  readonly feed: ConfigurationFeed;
}

/** Instances with a configuration feed each, a store and a network in memory. */
class TestCluster {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  readonly network = new MemoryNetwork(this.clock);
  readonly nodes: TestNode[] = [];
  readonly #generator = xoroshiro128plus(1);
  readonly #operator = new MemoryStore(this.service);

  async addInstances(count: number): Promise<readonly TestNode[]> {
    const added = Array.from({ length: count }, () => this.#createNode());
    this.nodes.push(...added);
    const started = added.map(({ feed }) => feed.start());
    await this.clock.run(100);
    await Promise.all(started);
    return added;
  }

  async publish(base: number, text = `[team t${base}]`): Promise<void> {
    const { clock } = this;
    const publishId = `id-${base}`;
    const request = { base, text, operator: "ana", publishId, clock };
    (await publish(this.#operator, request))._unsafeUnwrap();
  }

  activeNumbers(): readonly number[] {
    return this.nodes.map(({ feed }) =>
      feed.current()?.publication.number ?? 0
    );
  }

  #random(): number {
    return uniformFloat64(this.#generator);
  }

  #createNode(): TestNode {
    const id = `i${this.#random()}`;
    const store = new MemoryStore(this.service);
    const feed = new ConfigurationFeed({
      self: id,
      members: () =>
        this.nodes.map((node) => node.id).filter((other) => other !== id),
      store,
      peers: this.network.join(id),
      clock: this.clock,
      log: silentLog,
      random: () => this.#random(),
    });
    return { id, store, feed };
  }
}

/** Asserts the number of the active publication at every instance. */
function assertActiveNumber(
  t: ExecutionContext,
  cluster: TestCluster,
  number: number,
): void {
  t.deepEqual(cluster.activeNumbers(), cluster.nodes.map(() => number));
}

test("without a publication nothing is active and the age is infinite", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(1);
  t.is(node?.feed.current(), undefined);
  t.is(node?.feed.ageMs(), Infinity);
});

test("an existing publication is active after start", async (t) => {
  const cluster = new TestCluster();
  await cluster.publish(0);
  const [node] = await cluster.addInstances(1);
  t.true(node?.feed.current()?.set.teams.has("t0"));
  t.true(node!.feed.ageMs() <= 100);
});

test("a publication becomes active at all watching instances", async (t) => {
  const cluster = new TestCluster();
  await cluster.addInstances(8);
  await cluster.publish(0);
  await cluster.clock.run(100);
  assertActiveNumber(t, cluster, 1);
});

test("instances that do not watch the store learn of a publication from peers", async (t) => {
  const cluster = new TestCluster();
  await cluster.addInstances(24);
  await cluster.publish(0);
  await cluster.clock.run(3_000, 50);
  assertActiveNumber(t, cluster, 1);
});

test("listeners are called once for each publication", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(4);
  const received: number[] = [];
  node!.feed.onChange((change) => received.push(change.publication.number));
  for (const base of [0, 1, 2]) {
    await cluster.publish(base);
    await cluster.clock.run(2_000, 50);
  }
  t.deepEqual(received, [1, 2, 3]);
});

test("peers serve the publication while the store is unreachable", async (t) => {
  const cluster = new TestCluster();
  const nodes = await cluster.addInstances(4);
  await cluster.publish(0);
  await cluster.clock.run(1_000);
  for (const { store } of nodes) store.cut();
  const [late] = await cluster.addInstances(1);
  late!.store.cut();
  await cluster.clock.run(100);
  t.is(late?.feed.current()?.publication.number, 1);
});

test("a new instance reads a large publication from a peer", async (t) => {
  const cluster = new TestCluster();
  await cluster.addInstances(2);
  await cluster.publish(0, "; large\n".repeat(300_000));
  await cluster.clock.run(1_000);
  for (const { store } of cluster.nodes) store.cut();
  cluster.service.apply([], [{ type: "delete", key: HEAD_KEY }]);
  await cluster.addInstances(1);
  await cluster.clock.run(3_000, 50);
  assertActiveNumber(t, cluster, 1);
});

test("an instance cut off from the store stays current through peers", async (t) => {
  const cluster = new TestCluster();
  const nodes = await cluster.addInstances(4);
  nodes[0]!.store.cut();
  await cluster.publish(0);
  await cluster.clock.run(3_000, 50);
  assertActiveNumber(t, cluster, 1);
  t.true(nodes[0]!.feed.ageMs() < 3_000);
});

test("the age grows while no instance reaches the store", async (t) => {
  const cluster = new TestCluster();
  const nodes = await cluster.addInstances(4);
  await cluster.publish(0);
  await cluster.clock.run(2_000, 50);
  for (const { store } of nodes) store.cut();
  await cluster.clock.run(60_000, 100);
  for (const { feed } of nodes) t.true(feed.ageMs() >= 60_000);
  assertActiveNumber(t, cluster, 1);
  for (const { store } of nodes) store.heal();
  await cluster.clock.run(3_000, 50);
  for (const { feed } of nodes) t.true(feed.ageMs() < 3_000);
});

test("the age grows at an instance cut off from store and peers", async (t) => {
  const cluster = new TestCluster();
  const [isolated, other] = await cluster.addInstances(2);
  await cluster.publish(0);
  await cluster.clock.run(2_000, 50);
  isolated!.store.cut();
  cluster.network.cut(isolated!.id, other!.id);
  await cluster.publish(1);
  await cluster.clock.run(10_000, 100);
  t.is(isolated!.feed.current()?.publication.number, 1);
  t.true(isolated!.feed.ageMs() >= 10_000);
});

test("a delayed response of a peer does not make the age lower than the peer's", async (t) => {
  const cluster = new TestCluster();
  const [isolated, other] = await cluster.addInstances(2);
  await cluster.publish(0);
  await cluster.clock.run(2_000, 50);
  isolated!.store.cut();
  cluster.network.latencyMs = 400;
  for (let step = 0; step < 200; step++) {
    await cluster.clock.run(50);
    t.true(isolated!.feed.ageMs() >= other!.feed.ageMs());
  }
  t.true(isolated!.feed.ageMs() < 5_000);
});

test("the age includes the latency of the store", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(1);
  await cluster.publish(0);
  node!.store.faults.latencyMs = 300;
  await cluster.clock.run(2_000, 50);
  for (let step = 0; step < 100; step++) {
    await cluster.clock.run(50);
    t.true(node!.feed.ageMs() >= 300);
  }
});

test("a publication made during a store outage becomes active after it", async (t) => {
  const cluster = new TestCluster();
  const nodes = await cluster.addInstances(4);
  for (const { store } of nodes) store.cut();
  await cluster.publish(0);
  await cluster.clock.run(5_000, 50);
  assertActiveNumber(t, cluster, 0);
  for (const { store } of nodes) store.heal();
  await cluster.clock.run(3_000, 50);
  assertActiveNumber(t, cluster, 1);
});

test("a publication with a lower number is never applied", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(1);
  await cluster.publish(0);
  await cluster.publish(1);
  await cluster.clock.run(1_000);
  const old = { number: 1, publishId: "old", operator: "b", at: "" };
  const head = createHead({ ...old, text: "" });
  cluster.service.apply([], [
    { type: "put", key: chunkKey("old", 0), value: "" },
    { type: "put", key: HEAD_KEY, value: JSON.stringify(head) },
  ]);
  await cluster.clock.run(10_000, 100);
  assertActiveNumber(t, cluster, 2);
  t.true(node!.feed.ageMs() >= 9_000);
});

const malformedHeads = [
  { name: "invalid JSON", value: "{" },
  {
    name: "a head whose text is missing",
    value: JSON.stringify(headOfOtherText(2, "x")),
  },
  {
    name: "a head whose text does not match",
    value: JSON.stringify(headOfOtherText(2, "id-0")),
  },
];

for (const { name, value } of malformedHeads) {
  test(`keeps the active publication after reading ${name}`, async (t) => {
    const cluster = new TestCluster();
    await cluster.addInstances(3);
    await cluster.publish(0);
    await cluster.clock.run(1_000);
    cluster.service.apply([], [{ type: "put", key: HEAD_KEY, value }]);
    await cluster.clock.run(5_000, 50);
    assertActiveNumber(t, cluster, 1);
  });
}

test("keeps the active publication after reading an invalid set", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(2);
  await cluster.publish(0);
  await cluster.publish(1, "[nonsense]");
  await cluster.clock.run(5_000, 50);
  assertActiveNumber(t, cluster, 1);
  t.true(node!.feed.ageMs() >= 4_000);
  await cluster.publish(2);
  await cluster.clock.run(3_000, 50);
  assertActiveNumber(t, cluster, 3);
});

test("the watch is restarted after it ends", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(1);
  node!.store.cut();
  await cluster.clock.run(5_000, 50);
  node!.store.heal();
  await cluster.clock.run(11_000, 50);
  await cluster.publish(0);
  await cluster.clock.run(20, 10);
  assertActiveNumber(t, cluster, 1);
});

test("store calls do not grow with the number of instances", async (t) => {
  const callsPerSecond = [];
  for (const size of [16, 64]) {
    const cluster = new TestCluster();
    await cluster.addInstances(size);
    await cluster.publish(0);
    await cluster.clock.run(5_000, 50);
    const before = cluster.service.calls;
    await cluster.clock.run(20_000, 50);
    for (const { feed } of cluster.nodes) {
      t.true(feed.ageMs() < 12_000);
    }
    callsPerSecond.push((cluster.service.calls - before) / 20);
  }
  t.log(`store calls per second: ${callsPerSecond.join(", ")}`);
  t.true(callsPerSecond[1]! < 1.5 * callsPerSecond[0]!);
  t.true(callsPerSecond[1]! <= 10);
});

test("a slow store does not delay publications from peers", async (t) => {
  const cluster = new TestCluster();
  const nodes = await cluster.addInstances(2);
  nodes[0]!.store.faults.latencyMs = 60_000;
  await cluster.clock.run(2_000, 50);
  await cluster.publish(0);
  await cluster.clock.run(500, 50);
  assertActiveNumber(t, cluster, 1);
});

test("a stopped feed applies no publication", async (t) => {
  const cluster = new TestCluster();
  const [node] = await cluster.addInstances(2);
  node!.feed.stop();
  await cluster.publish(0);
  await cluster.clock.run(3_000, 50);
  t.is(node!.feed.current(), undefined);
});

function headOfOtherText(number: number, publishId: string) {
  return {
    ...createHead({ number, publishId, operator: "b", at: "", text: "other" }),
  };
}
