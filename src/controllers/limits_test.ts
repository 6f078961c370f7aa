import test from "ava";
import { type ClusterNode, MemoryCluster } from "../fakes/memory_cluster.ts";

const TEAM = "a";
const LIMIT = 40;
const UNITS = [
  ...Array.from({ length: 8 }, (_, at) => `worker:w${at}`),
  `team:${TEAM}`,
];

async function started(...ids: readonly string[]): Promise<MemoryCluster> {
  const limits = new Map([[TEAM, LIMIT]]);
  const cluster = new MemoryCluster({ units: UNITS, limits });
  cluster.network.latencyMs = 1;
  cluster.start(...ids);
  await run(cluster, 10_000);
  return cluster;
}

/** Lets time pass while every member counts the work on its workers. */
async function run(
  cluster: MemoryCluster,
  milliseconds: number,
): Promise<void> {
  for (let left = milliseconds; left > 0; left -= 100) {
    await cluster.run(Math.min(left, 100));
    for (const { limits } of cluster.nodes.values()) {
      for (const unit of limits.unsettled()) limits.settle(unit);
    }
  }
}

async function takeAll(
  cluster: MemoryCluster,
  node: ClusterNode,
): Promise<number> {
  let taken = 0;
  for (let ask = 0; ask < 2 * LIMIT; ask++) {
    node.limits.take(TEAM, 2_000).map(() => taken++);
  }
  await run(cluster, 3_000);
  return taken;
}

function homeOf(cluster: MemoryCluster): string {
  const [node] = cluster.nodes.values();
  return node!.ownership.ownerOf(`team:${TEAM}`)!.id;
}

function others(cluster: MemoryCluster): readonly ClusterNode[] {
  const home = homeOf(cluster);
  return [...cluster.nodes.values()].filter((node) =>
    node.instance.id !== home
  );
}

function give(node: ClusterNode, count: number): void {
  for (let done = 0; done < count; done++) node.limits.give(TEAM);
}

test("all arrivals at one instance: it gets the whole limit, no more", async (t) => {
  const cluster = await started("1", "2", "3");
  t.is(await takeAll(cluster, others(cluster)[0]!), LIMIT);
});

test("arrivals everywhere: the sum is the limit", async (t) => {
  const cluster = await started("1", "2", "3");
  const nodes = [...cluster.nodes.values()];
  const taken = await Promise.all(nodes.map((node) => takeAll(cluster, node)));
  t.is(taken.reduce((sum, each) => sum + each), LIMIT);
});

test("refusal: over the limit, with when to come back", async (t) => {
  const cluster = await started("1", "2");
  const [node] = others(cluster);
  await takeAll(cluster, node!);
  const refusal = node!.limits.take(TEAM, 500);
  await run(cluster, 600);
  const failure = (await refusal)._unsafeUnwrapErr();
  t.is(failure.type, "overLimit");
});

test("idle allowance goes to whoever waits", async (t) => {
  const cluster = await started("1", "2", "3");
  const [a, b] = others(cluster);
  give(a!, await takeAll(cluster, a!));
  t.is(await takeAll(cluster, b!), LIMIT);
});

test("a waiter elsewhere gets its part while one instance is never idle", async (t) => {
  const cluster = await started("1", "2", "3");
  const [a, b] = others(cluster);
  await takeAll(cluster, a!);
  let taken = 0;
  b!.limits.take(TEAM, 5_000).map(() => taken++);
  for (let turn = 0; turn < 40; turn++) {
    a!.limits.take(TEAM, 5_000);
    give(a!, 1);
    await run(cluster, 10);
  }
  t.is(taken, 1);
});

test("team without a limit: nothing is asked", async (t) => {
  const cluster = await started("1", "2");
  const { messages } = cluster.network;
  for (const { limits } of cluster.nodes.values()) {
    for (let at = 0; at < 100; at++) t.true(limits.tryTake("free"));
  }
  t.is(cluster.network.messages, messages);
});

test("limit lowered, then raised", async (t) => {
  const cluster = await started("1", "2");
  const [node] = others(cluster);
  await takeAll(cluster, node!);
  const setLimits = (limit: number) => {
    for (const { limits } of cluster.nodes.values()) {
      limits.setLimits(new Map([[TEAM, limit]]));
    }
  };
  setLimits(10);
  give(node!, 25);
  t.is(await takeAll(cluster, node!), 0);
  give(node!, 10);
  t.is(await takeAll(cluster, node!), 5);
  setLimits(20);
  t.is(await takeAll(cluster, node!), 10);
});

test("store away: limits work on", async (t) => {
  const cluster = await started("1", "2", "3");
  cluster.cutStore();
  await run(cluster, 60_000);
  t.is(await takeAll(cluster, others(cluster)[0]!), LIMIT);
});

test("home dies: the new one grants only what is not held", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  const [a, b] = others(cluster);
  let taken = 0;
  for (let ask = 0; ask < 15; ask++) {
    a!.limits.take(TEAM, 2_000).map(() => taken++);
  }
  await run(cluster, 3_000);
  t.is(taken, 15);
  cluster.crash(homeOf(cluster));
  await run(cluster, 15_000);
  t.is(await takeAll(cluster, b!), LIMIT - 15);
});

test("home away: typed refusal", async (t) => {
  const cluster = await started("1", "2", "3");
  const [node] = others(cluster);
  cluster.crash(homeOf(cluster));
  const refusal = node!.limits.take(TEAM, 500);
  await run(cluster, 600);
  t.is((await refusal)._unsafeUnwrapErr().type, "homeAway");
});

test("holder dies: its allowance comes back once its work is counted", async (t) => {
  const cluster = await started("1", "2", "3", "4");
  const [a, b, c] = others(cluster);
  await takeAll(cluster, a!);
  cluster.crash(a!.instance.id);
  await cluster.run(15_000);
  t.is(await takeUnsettled(cluster, b!), 0);
  c!.limits.adopt(TEAM, 7);
  await run(cluster, 3_000);
  t.is(await takeAll(cluster, b!), LIMIT - 7);
  give(c!, 7);
  t.is(await takeAll(cluster, b!), 7);
});

test("home and holder die together: nothing is granted until the work is counted", async (t) => {
  const cluster = await started("1", "2", "3", "4", "5");
  const [a, b, c] = others(cluster);
  await takeAll(cluster, a!);
  const home = homeOf(cluster);
  cluster.crash(a!.instance.id);
  cluster.crash(home);
  await cluster.run(15_000);
  t.is(await takeUnsettled(cluster, b!), 0);
  c!.limits.adopt(TEAM, 30);
  await run(cluster, 3_000);
  t.is(await takeAll(cluster, b!), LIMIT - 30);
});

async function takeUnsettled(
  cluster: MemoryCluster,
  node: ClusterNode,
): Promise<number> {
  let taken = 0;
  for (let ask = 0; ask < LIMIT; ask++) {
    node.limits.take(TEAM, 1_000).map(() => taken++);
  }
  await cluster.run(2_000);
  return taken;
}
