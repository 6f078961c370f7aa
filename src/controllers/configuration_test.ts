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

interface Node {
  readonly id: string;
  readonly store: MemoryStore;
  readonly controller: ConfigurationFeed;
}

class Cell {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  readonly network = new MemoryNetwork(this.clock);
  readonly nodes: Node[] = [];
  readonly #generator = xoroshiro128plus(1);
  readonly #operator = new MemoryStore(this.service);

  async add(count: number): Promise<readonly Node[]> {
    const added = Array.from({ length: count }, () => this.#join());
    this.nodes.push(...added);
    const started = added.map(({ controller }) => controller.start());
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

  numbers(): readonly number[] {
    return this.nodes.map(({ controller }) =>
      controller.current()?.publication.number ?? 0
    );
  }

  #random(): number {
    return uniformFloat64(this.#generator);
  }

  #join(): Node {
    const id = `i${this.#random()}`;
    const store = new MemoryStore(this.service);
    const controller = new ConfigurationFeed({
      self: id,
      members: () =>
        this.nodes.map((node) => node.id).filter((other) => other !== id),
      store,
      peers: this.network.join(id),
      clock: this.clock,
      log: silentLog,
      random: () => this.#random(),
    });
    return { id, store, controller };
  }
}

function same(t: ExecutionContext, cell: Cell, number: number): void {
  t.deepEqual(cell.numbers(), cell.nodes.map(() => number));
}

test("nothing published", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(1);
  t.is(node?.controller.current(), undefined);
  t.is(node?.controller.ageMs(), Infinity);
});

test("takes what is published at the start", async (t) => {
  const cell = new Cell();
  await cell.publish(0);
  const [node] = await cell.add(1);
  t.true(node?.controller.current()?.set.teams.has("t0"));
  t.true(node!.controller.ageMs() <= 100);
});

test("a publication is in force everywhere by the watch", async (t) => {
  const cell = new Cell();
  await cell.add(8);
  await cell.publish(0);
  await cell.clock.run(100);
  same(t, cell, 1);
});

test("more instances than watch are told by peers", async (t) => {
  const cell = new Cell();
  await cell.add(24);
  await cell.publish(0);
  await cell.clock.run(3_000, 50);
  same(t, cell, 1);
});

test("tells listeners once for each number", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(4);
  const heard: number[] = [];
  node!.controller.onChange((change) => heard.push(change.publication.number));
  for (const base of [0, 1, 2]) {
    await cell.publish(base);
    await cell.clock.run(2_000, 50);
  }
  t.deepEqual(heard, [1, 2, 3]);
});

test("peers serve it while the store is away", async (t) => {
  const cell = new Cell();
  const nodes = await cell.add(4);
  await cell.publish(0);
  await cell.clock.run(1_000);
  for (const { store } of nodes) store.cut();
  const [late] = await cell.add(1);
  late!.store.cut();
  await cell.clock.run(100);
  t.is(late?.controller.current()?.publication.number, 1);
});

test("a new instance starts from a peer", async (t) => {
  const cell = new Cell();
  await cell.add(2);
  await cell.publish(0, "; large\n".repeat(300_000));
  await cell.clock.run(1_000);
  for (const { store } of cell.nodes) store.cut();
  cell.service.apply([], [{ type: "delete", key: HEAD_KEY }]);
  await cell.add(1);
  await cell.clock.run(3_000, 50);
  same(t, cell, 1);
});

test("one that is cut off from the store stays current through peers", async (t) => {
  const cell = new Cell();
  const nodes = await cell.add(4);
  nodes[0]!.store.cut();
  await cell.publish(0);
  await cell.clock.run(3_000, 50);
  same(t, cell, 1);
  t.true(nodes[0]!.controller.ageMs() < 3_000);
});

test("age grows while nobody reaches the store", async (t) => {
  const cell = new Cell();
  const nodes = await cell.add(4);
  await cell.publish(0);
  await cell.clock.run(2_000, 50);
  for (const { store } of nodes) store.cut();
  await cell.clock.run(60_000, 100);
  for (const { controller } of nodes) t.true(controller.ageMs() >= 60_000);
  same(t, cell, 1);
  for (const { store } of nodes) store.heal();
  await cell.clock.run(3_000, 50);
  for (const { controller } of nodes) t.true(controller.ageMs() < 3_000);
});

test("age grows at one that is cut off from all", async (t) => {
  const cell = new Cell();
  const [lone, other] = await cell.add(2);
  await cell.publish(0);
  await cell.clock.run(2_000, 50);
  lone!.store.cut();
  cell.network.cut(lone!.id, other!.id);
  await cell.publish(1);
  await cell.clock.run(10_000, 100);
  t.is(lone!.controller.current()?.publication.number, 1);
  t.true(lone!.controller.ageMs() >= 10_000);
});

test("a delayed answer of a peer does not look fresh", async (t) => {
  const cell = new Cell();
  const [lone, other] = await cell.add(2);
  await cell.publish(0);
  await cell.clock.run(2_000, 50);
  lone!.store.cut();
  cell.network.latencyMs = 400;
  for (let step = 0; step < 200; step++) {
    await cell.clock.run(50);
    t.true(lone!.controller.ageMs() >= other!.controller.ageMs());
  }
  t.true(lone!.controller.ageMs() < 5_000);
});

test("a slow answer of the store does not look fresh", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(1);
  await cell.publish(0);
  node!.store.faults.latencyMs = 300;
  await cell.clock.run(2_000, 50);
  for (let step = 0; step < 100; step++) {
    await cell.clock.run(50);
    t.true(node!.controller.ageMs() >= 300);
  }
});

test("a publication made during an outage comes into force after it", async (t) => {
  const cell = new Cell();
  const nodes = await cell.add(4);
  for (const { store } of nodes) store.cut();
  await cell.publish(0);
  await cell.clock.run(5_000, 50);
  same(t, cell, 0);
  for (const { store } of nodes) store.heal();
  await cell.clock.run(3_000, 50);
  same(t, cell, 1);
});

test("a lower number is never applied", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(1);
  await cell.publish(0);
  await cell.publish(1);
  await cell.clock.run(1_000);
  const old = { number: 1, publishId: "old", operator: "b", at: "" };
  const head = createHead({ ...old, text: "" });
  cell.service.apply([], [
    { type: "put", key: chunkKey("old", 0), value: "" },
    { type: "put", key: HEAD_KEY, value: JSON.stringify(head) },
  ]);
  await cell.clock.run(10_000, 100);
  same(t, cell, 2);
  t.true(node!.controller.ageMs() >= 9_000);
});

const damages = [
  { name: "no JSON", value: "{" },
  { name: "a head without text", value: JSON.stringify(headNumber(2, "x")) },
  {
    name: "a head of another text",
    value: JSON.stringify(headNumber(2, "id-0")),
  },
];

for (const { name, value } of damages) {
  test(`keeps what is in force at ${name}`, async (t) => {
    const cell = new Cell();
    await cell.add(3);
    await cell.publish(0);
    await cell.clock.run(1_000);
    cell.service.apply([], [{ type: "put", key: HEAD_KEY, value }]);
    await cell.clock.run(5_000, 50);
    same(t, cell, 1);
  });
}

test("keeps what is in force at a text that is no set", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(2);
  await cell.publish(0);
  await cell.publish(1, "[nonsense]");
  await cell.clock.run(5_000, 50);
  same(t, cell, 1);
  t.true(node!.controller.ageMs() >= 4_000);
  await cell.publish(2);
  await cell.clock.run(3_000, 50);
  same(t, cell, 3);
});

test("watches again after the watch ends", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(1);
  node!.store.cut();
  await cell.clock.run(5_000, 50);
  node!.store.heal();
  await cell.clock.run(11_000, 50);
  await cell.publish(0);
  await cell.clock.run(20, 10);
  same(t, cell, 1);
});

test("reads of the store do not grow with the instances", async (t) => {
  const counts = [];
  for (const size of [16, 64]) {
    const cell = new Cell();
    await cell.add(size);
    await cell.publish(0);
    await cell.clock.run(5_000, 50);
    const before = cell.service.calls;
    await cell.clock.run(20_000, 50);
    for (const { controller } of cell.nodes) {
      t.true(controller.ageMs() < 12_000);
    }
    counts.push((cell.service.calls - before) / 20);
  }
  t.log(`store calls a second: ${counts.join(", ")}`);
  t.true(counts[1]! < 1.5 * counts[0]!);
  t.true(counts[1]! <= 10);
});

test("a slow store holds up no news from peers", async (t) => {
  const cell = new Cell();
  const nodes = await cell.add(2);
  nodes[0]!.store.faults.latencyMs = 60_000;
  await cell.clock.run(2_000, 50);
  await cell.publish(0);
  await cell.clock.run(500, 50);
  same(t, cell, 1);
});

test("follows no more once stopped", async (t) => {
  const cell = new Cell();
  const [node] = await cell.add(2);
  node!.controller.stop();
  await cell.publish(0);
  await cell.clock.run(3_000, 50);
  t.is(node!.controller.current(), undefined);
});

function headNumber(number: number, publishId: string) {
  return {
    ...createHead({ number, publishId, operator: "b", at: "", text: "other" }),
  };
}
