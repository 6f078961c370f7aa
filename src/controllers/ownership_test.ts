import test from "ava";
import { MemoryCluster } from "../fakes/memory_cluster.ts";

const LEASE_MS = 5_000;
const HOUR_MS = 3_600_000;
const UNITS = [
  ...Array.from({ length: 30 }, (_, at) => `worker:w${at}`),
  ...Array.from({ length: 12 }, (_, at) => `team:t${at}`),
];

function ownedWorkerCounts(cluster: MemoryCluster): readonly number[] {
  return [...cluster.nodes.values()]
    .map((node) => node.ownership.owned("worker:").length)
    .sort();
}

async function startCluster(...ids: readonly string[]): Promise<MemoryCluster> {
  const cluster = new MemoryCluster({ units: UNITS });
  cluster.network.latencyMs = 1;
  cluster.start(...ids);
  await cluster.run(10_000);
  return cluster;
}

test("start: units are spread evenly and each has one deciding owner", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(ownedWorkerCounts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("join: owners hand over excess units", async (t) => {
  const cluster = await startCluster("1", "2");
  cluster.start("3");
  await cluster.run(10_000);
  t.deepEqual(ownedWorkerCounts(cluster), [10, 10, 10]);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("join: an owner stops deciding before its handover write, even if it sees the result late", async (t) => {
  const cluster = await startCluster("1", "2");
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
  t.deepEqual(ownedWorkerCounts(cluster), [10, 10, 10]);
  t.is(cluster.maxDeciders, 1);
});

test("crash of one member: the others take over its units", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  cluster.crash("2");
  await cluster.run(9_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("loss of three of four members: the platform's list lets the last one take over", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  for (const id of ["1", "2", "3"]) cluster.kill(id);
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("pause: a resumed member makes no decision for its former units", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
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
  t.deepEqual(ownedWorkerCounts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("store outage of an hour: all units keep their owners and a decider", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
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

test("store outage with one crash: only the crashed member's units wait for the store", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4", "5");
  cluster.cutStore();
  await cluster.run(20_000);
  const unitsOfCrashed = cluster.node("5").ownership.owned("");
  cluster.crash("5");
  await cluster.run(20_000);
  t.deepEqual([...cluster.unserved()].sort(), [...unitsOfCrashed].sort());
  cluster.healStore();
  await cluster.run(4 * LEASE_MS);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("a member isolated from store and peers stops within one lease", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  cluster.isolate("1");
  cluster.cutStore(["1"]);
  await cluster.run(LEASE_MS);
  t.false(cluster.node("1").membership.mayDecide());
  await cluster.run(15_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("a member cut off from the store alone loses its units to the others", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  cluster.cutStore(["1"]);
  await cluster.run(20_000);
  t.false(cluster.node("1").membership.mayDecide());
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("partition with the store on the minority side: the majority keeps its units", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4", "5");
  for (const a of ["1", "2", "3"]) {
    for (const b of ["4", "5"]) cluster.network.cut(a, b);
  }
  cluster.cutStore(["1", "2", "3"]);
  await cluster.run(30_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("partition with the store on the minority side: new members there do not outvote the majority", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4", "5");
  for (const a of ["1", "2", "3"]) {
    for (const b of ["4", "5", "6", "7", "8"]) cluster.network.cut(a, b);
  }
  cluster.cutStore(["1", "2", "3"]);
  cluster.start("6", "7", "8");
  await cluster.run(40_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("store recovery: store calls stay within the budget", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4", "5", "6", "7", "8");
  cluster.cutStore();
  await cluster.run(60_000);
  cluster.healStore();
  let maxCalls = 0;
  for (let second = 0; second < 20; second++) {
    const before = cluster.service.calls;
    await cluster.run(1_000);
    maxCalls = Math.max(maxCalls, cluster.service.calls - before);
  }
  t.log(`maximum store calls per second: ${maxCalls}`);
  t.true(maxCalls < 200);
  t.deepEqual(cluster.unserved(), []);
});

test("slow store: survivors still take over", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
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

test("hanging store: all members keep deciding", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  for (const { store } of cluster.nodes.values()) store.faults.latencyMs = 1e9;
  for (let step = 0; step < 100; step++) {
    await cluster.run(200);
    t.deepEqual(cluster.unserved(), []);
  }
});

test("lost store responses: the map converges", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  cluster.start("4");
  for (const node of cluster.nodes.values()) node.store.faults.lostReplies = 3;
  await cluster.run(20_000);
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(ownedWorkerCounts(cluster), [7, 7, 8, 8]);
  t.is(cluster.maxDeciders, 1);
});

test("leave: units are handed over at once", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  await cluster.node("2").ownership.leave();
  await cluster.run(1_000);
  t.deepEqual(cluster.unserved(), []);
  t.is(cluster.maxDeciders, 1);
});

test("all members replaced one after another", async (t) => {
  const cluster = await startCluster("1", "2", "3");
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

test("all members replaced at once", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  for (const id of ["1", "2", "3"]) cluster.kill(id);
  cluster.start("4", "5", "6");
  await cluster.run(90_000);
  t.deepEqual(cluster.unserved(), []);
  t.deepEqual(ownedWorkerCounts(cluster), [10, 10, 10]);
  t.is(cluster.maxDeciders, 1);
});
