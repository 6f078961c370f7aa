import test from "ava";
import { type ClusterNode, MemoryCluster } from "../fakes/memory_cluster.ts";

const TEAM = "a";
const LIMIT = 40;
const UNITS = [
  ...Array.from({ length: 8 }, (_, at) => `worker:w${at}`),
  `team:${TEAM}`,
];

async function startCluster(...ids: readonly string[]): Promise<MemoryCluster> {
  const limits = new Map([[TEAM, LIMIT]]);
  const cluster = new MemoryCluster({ units: UNITS, limits });
  cluster.network.latencyMs = 1;
  cluster.start(...ids);
  await run(cluster, 10_000);
  return cluster;
}

/** Runs the cluster; every member counts the work on its units without delay. */
async function run(
  cluster: MemoryCluster,
  milliseconds: number,
): Promise<void> {
  for (let remainingMs = milliseconds; remainingMs > 0; remainingMs -= 100) {
    await cluster.run(Math.min(remainingMs, 100));
    for (const { limits } of cluster.nodes.values()) {
      for (const unit of limits.unaccountedUnits()) limits.markAccounted(unit);
    }
  }
}

/** Acquires as much as possible at one node; returns how much. */
async function acquireAll(
  cluster: MemoryCluster,
  node: ClusterNode,
): Promise<number> {
  let acquired = 0;
  for (let attempt = 0; attempt < 2 * LIMIT; attempt++) {
    node.limits.acquire(TEAM, 2_000).map(() => acquired++);
  }
  await run(cluster, 3_000);
  return acquired;
}

function homeOf(cluster: MemoryCluster): string {
  const [node] = cluster.nodes.values();
  return node!.ownership.ownerOf(`team:${TEAM}`)!.id;
}

/** Nodes other than the home of the team's limit. */
function nonHomeNodes(cluster: MemoryCluster): readonly ClusterNode[] {
  const home = homeOf(cluster);
  return [...cluster.nodes.values()].filter((node) =>
    node.instance.id !== home
  );
}

/** Releases `count` units of allowance at a node. */
function releaseMany(node: ClusterNode, count: number): void {
  for (let at = 0; at < count; at++) node.limits.release(TEAM);
}

test("all work at one instance: it gets the whole limit and no more", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  t.is(await acquireAll(cluster, nonHomeNodes(cluster)[0]!), LIMIT);
});

test("work at every instance: the running work adds up to the limit", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  const nodes = [...cluster.nodes.values()];
  const acquired = await Promise.all(
    nodes.map((node) => acquireAll(cluster, node)),
  );
  t.is(acquired.reduce((sum, each) => sum + each), LIMIT);
});

test("refusal: fails with overLimit while the limit is used up", async (t) => {
  const cluster = await startCluster("1", "2");
  const [node] = nonHomeNodes(cluster);
  await acquireAll(cluster, node!);
  const refusal = node!.limits.acquire(TEAM, 500);
  await run(cluster, 600);
  const failure = (await refusal)._unsafeUnwrapErr();
  t.is(failure.type, "overLimit");
});

test("idle allowance is passed on to an instance that waits", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  const [a, b] = nonHomeNodes(cluster);
  releaseMany(a!, await acquireAll(cluster, a!));
  t.is(await acquireAll(cluster, b!), LIMIT);
});

test("a waiting instance gets allowance while another one is never idle", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  const [a, b] = nonHomeNodes(cluster);
  await acquireAll(cluster, a!);
  let acquired = 0;
  b!.limits.acquire(TEAM, 5_000).map(() => acquired++);
  for (let turn = 0; turn < 40; turn++) {
    a!.limits.acquire(TEAM, 5_000);
    releaseMany(a!, 1);
    await run(cluster, 10);
  }
  t.is(acquired, 1);
});

test("team without a limit: no message is sent", async (t) => {
  const cluster = await startCluster("1", "2");
  const { messages } = cluster.network;
  for (const { limits } of cluster.nodes.values()) {
    for (let at = 0; at < 100; at++) t.true(limits.tryAcquire("free"));
  }
  t.is(cluster.network.messages, messages);
});

test("limit lowered, then raised: new work follows the active limit", async (t) => {
  const cluster = await startCluster("1", "2");
  const [node] = nonHomeNodes(cluster);
  await acquireAll(cluster, node!);
  const setLimits = (limit: number) => {
    for (const { limits } of cluster.nodes.values()) {
      limits.setLimits(new Map([[TEAM, limit]]));
    }
  };
  setLimits(10);
  releaseMany(node!, 25);
  t.is(await acquireAll(cluster, node!), 0);
  releaseMany(node!, 10);
  t.is(await acquireAll(cluster, node!), 5);
  setLimits(20);
  t.is(await acquireAll(cluster, node!), 10);
});

test("store outage: limits keep working", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  cluster.cutStore();
  await run(cluster, 60_000);
  t.is(await acquireAll(cluster, nonHomeNodes(cluster)[0]!), LIMIT);
});

test("home crashes: the new home grants only allowance that no holder has", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  const [a, b] = nonHomeNodes(cluster);
  let acquired = 0;
  for (let attempt = 0; attempt < 15; attempt++) {
    a!.limits.acquire(TEAM, 2_000).map(() => acquired++);
  }
  await run(cluster, 3_000);
  t.is(acquired, 15);
  cluster.crash(homeOf(cluster));
  await run(cluster, 15_000);
  t.is(await acquireAll(cluster, b!), LIMIT - 15);
});

test("home unreachable: fails with homeAway", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  const [node] = nonHomeNodes(cluster);
  cluster.crash(homeOf(cluster));
  const refusal = node!.limits.acquire(TEAM, 500);
  await run(cluster, 600);
  t.is((await refusal)._unsafeUnwrapErr().type, "homeAway");
});

test("holder crashes: its allowance is granted again once its work is counted", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4");
  const [a, b, c] = nonHomeNodes(cluster);
  await acquireAll(cluster, a!);
  cluster.crash(a!.instance.id);
  await cluster.run(15_000);
  t.is(await acquireWithoutCounting(cluster, b!), 0);
  c!.limits.adopt(TEAM, 7);
  await run(cluster, 3_000);
  t.is(await acquireAll(cluster, b!), LIMIT - 7);
  releaseMany(c!, 7);
  t.is(await acquireAll(cluster, b!), 7);
});

test("home and holder crash together: nothing is granted until the work is counted", async (t) => {
  const cluster = await startCluster("1", "2", "3", "4", "5");
  const [a, b, c] = nonHomeNodes(cluster);
  await acquireAll(cluster, a!);
  const home = homeOf(cluster);
  cluster.crash(a!.instance.id);
  cluster.crash(home);
  await cluster.run(15_000);
  t.is(await acquireWithoutCounting(cluster, b!), 0);
  c!.limits.adopt(TEAM, 30);
  await run(cluster, 3_000);
  t.is(await acquireAll(cluster, b!), LIMIT - 30);
});

/** Like `acquireAll`, but no member counts the work on its units meanwhile. */
async function acquireWithoutCounting(
  cluster: MemoryCluster,
  node: ClusterNode,
): Promise<number> {
  let acquired = 0;
  for (let attempt = 0; attempt < LIMIT; attempt++) {
    node.limits.acquire(TEAM, 1_000).map(() => acquired++);
  }
  await cluster.run(2_000);
  return acquired;
}
