import test from "ava";
import { MemoryCluster } from "../fakes/memory_cluster.ts";

const LEASE_MS = 5_000;
const HOUR_MS = 3_600_000;
const UNITS = [
  ...Array.from({ length: 30 }, (_, at) => `worker:w${at}`),
  ...Array.from({ length: 12 }, (_, at) => `team:t${at}`),
];

function counts(cluster: MemoryCluster): readonly number[] {
  return [...cluster.nodes.values()]
    .map((node) => node.ownership.owned("worker:").length)
    .sort();
}

async function started(...ids: readonly string[]): Promise<MemoryCluster> {
  const cluster = new MemoryCluster({ units: UNITS });
  cluster.network.latencyMs = 1;
  cluster.start(...ids);
  await cluster.run(10_000);
  return cluster;
}

test("start: every unit has one decider, evenly", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(counts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("join: owners hand over their excess", async (t) => {
  const cluster = await started("1", "2");
  cluster.start("3");
  await cluster.run(10_000);
  t.deepEqual(counts(cluster), [10, 10, 10]);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("join: an owner that hears late of its own write has stopped before it", async (t) => {
  const cluster = await started("1", "2");
  for (const { store } of cluster.nodes.values()) {
    store.pause();
    store.faults.latencyMs = 400;
  }
  cluster.start("3");
  for (let second = 0; second < 20; second++) {
    await cluster.run(1_000);
    const { store } = cluster.node(String(1 + second % 2));
    store.resume();
    store.pause();
  }
  t.deepEqual(counts(cluster), [10, 10, 10]);
  t.is(cluster.maxDeciders, 1);
});

test("kill: survivors take over", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  cluster.crash("2");
  await cluster.run(9_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("kill of all but one of four: the list lets the last one take over", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  for (const id of ["1", "2", "3"]) cluster.kill(id);
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("pause: the sleeper decides nothing on waking", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  const before = cluster.node("2").ownership.owned("");
  cluster.pause("2");
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  cluster.resume("2");
  t.deepEqual(
    before.filter((unit) => cluster.deciders(unit).includes("2")),
    [],
  );
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(counts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("outage of an hour: nobody loses anything, nobody stops", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  const before = cluster.node("1").ownership.map();
  cluster.cutStore();
  for (let minute = 0; minute < 60; minute++) {
    await cluster.run(HOUR_MS / 60, 100);
    t.deepEqual(cluster.unserved(), []);
  }
  cluster.healStore();
  for (let step = 0; step < 100; step++) {
    await cluster.run(200);
    t.deepEqual(cluster.unserved(), []);
  }
  t.deepEqual(cluster.node("1").ownership.map().units, before.units);
  t.is(cluster.maxDeciders, 1);
});

test("outage and one death: the others go on, the dead one's units follow it", async (t) => {
  const cluster = await started("1", "2", "3", "4", "5");
  cluster.cutStore();
  await cluster.run(20_000);
  const orphans = cluster.node("5").ownership.owned("");
  cluster.crash("5");
  await cluster.run(20_000);
  t.deepEqual([...cluster.unserved()].sort(), [...orphans].sort());
  cluster.healStore();
  await cluster.run(4 * LEASE_MS);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("isolated from store and peers: stops within one lease", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  cluster.isolate("1");
  cluster.cutStore(["1"]);
  await cluster.run(LEASE_MS);
  t.false(cluster.node("1").membership.mayDecide());
  await cluster.run(15_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("cut off from the store alone: others take over", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  cluster.cutStore(["1"]);
  await cluster.run(20_000);
  t.false(cluster.node("1").membership.mayDecide());
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("two zones apart, the larger without the store: it stays in charge", async (t) => {
  const cluster = await started("1", "2", "3", "4", "5");
  for (const a of ["1", "2", "3"]) {
    for (const b of ["4", "5"]) cluster.network.cut(a, b);
  }
  cluster.cutStore(["1", "2", "3"]);
  await cluster.run(30_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("larger zone without the store, newcomers beside it: they do not outvote it", async (t) => {
  const cluster = await started("1", "2", "3", "4", "5");
  for (const a of ["1", "2", "3"]) {
    for (const b of ["4", "5", "6", "7", "8"]) cluster.network.cut(a, b);
  }
  cluster.cutStore(["1", "2", "3"]);
  cluster.start("6", "7", "8");
  await cluster.run(40_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("store back: calls stay within the budget", async (t) => {
  const cluster = await started("1", "2", "3", "4", "5", "6", "7", "8");
  cluster.cutStore();
  await cluster.run(60_000);
  cluster.healStore();
  let most = 0;
  for (let second = 0; second < 20; second++) {
    const before = cluster.service.calls;
    await cluster.run(1_000);
    most = Math.max(most, cluster.service.calls - before);
  }
  t.log(`most calls in a second: ${most}`);
  t.true(most < 200);
  t.deepEqual(cluster.unserved(), []);
});

test("slow store: survivors take over all the same", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  for (const { store } of cluster.nodes.values()) {
    store.faults.latencyMs = 2_000;
  }
  await cluster.run(10_000);
  t.deepEqual(cluster.unserved(), []);
  cluster.crash("2");
  await cluster.run(30_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("store hangs: nobody stops", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  for (const { store } of cluster.nodes.values()) store.faults.latencyMs = 1e9;
  for (let step = 0; step < 100; step++) {
    await cluster.run(200);
    t.deepEqual(cluster.unserved(), []);
  }
});

test("lost answers: the map converges", async (t) => {
  const cluster = await started("1", "2", "3");
  cluster.start("4");
  for (const node of cluster.nodes.values()) node.store.faults.lostReplies = 3;
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(counts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("leave: units go over at once", async (t) => {
  const cluster = await started("1", "2", "3");
  await cluster.node("2").ownership.leave();
  await cluster.run(1_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("all replaced one after another", async (t) => {
  const cluster = await started("1", "2", "3");
  for (let old = 1; old <= 3; old++) {
    cluster.start(String(old + 3));
    await cluster.run(10_000);
    await cluster.node(String(old)).ownership.leave();
    cluster.kill(String(old));
    await cluster.run(10_000);
    t.deepEqual(cluster.unserved(), []);
  }
  t.is(cluster.maxDeciders, 1);
  t.is(cluster.node("4").ownership.map().members.size, 3);
});

test("all replaced at once", async (t) => {
  const cluster = await started("1", "2", "3");
  for (const id of ["1", "2", "3"]) cluster.kill(id);
  cluster.start("4", "5", "6");
  await cluster.run(90_000);
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(counts(cluster), [10, 10, 10]);
  t.is(cluster.maxDeciders, 1);
});
