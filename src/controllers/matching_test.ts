import test from "ava";
import {
  type DispatchInstance,
  DispatchTestCluster,
  NEED,
} from "../fakes/dispatch_test_cluster.ts";
import { zeroResources } from "../resources.ts";
import type { WaitingItem } from "../policy/waiting_queue.ts";
import {
  type LoadReport,
  loadReportNotice,
  type Offer,
  offerNotice,
} from "../wire/dispatch.ts";
import type { Resources } from "../types.ts";
import type { Startable, Target } from "./matching.ts";
import type { ChosenWorker } from "./placement.ts";

interface Recorded extends Startable {
  readonly targets: Target[];
}

function startable(
  cluster: DispatchTestCluster,
  id: string,
  waiting: Partial<WaitingItem> = {},
): Recorded {
  const targets: Target[] = [];
  return {
    waiting: cluster.request(id, { waiting }).waiting,
    targets,
    start: (target) => targets.push(target),
    onExpired: () => {},
  };
}

function countWorkerSearches(node: DispatchInstance): () => number {
  let searches = 0;
  const findRoom = node.placement.findWorker.bind(node.placement);
  node.placement.findWorker = (need, options) => {
    searches++;
    return findRoom(need, options);
  };
  return () => searches;
}

const workProfile = { urgency: "urgent" as const, team: "large", need: NEED };

function reserveCapacity(
  node: DispatchInstance,
  need: Resources,
): ChosenWorker {
  const task = { team: "large", workload: "receipts", need };
  const reserved = node.placement.reserve(task, []);
  if (reserved.type === "none") throw new TypeError(reserved.reason.type);
  return reserved.place;
}

const emptyReport: LoadReport = {
  sequence: 100,
  free: zeroResources,
  spare: {},
  largest: zeroResources,
  capacity: zeroResources,
  backlog: [],
  usage: {},
};

test("no busy loop: no item fits the free capacity", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const node = cluster.node("1");
  const searches = countWorkerSearches(node);
  const need = { ...NEED, cpuMillis: 9_000 };
  node.matching.submit(startable(cluster, "r", { need }));
  await cluster.settle(100);
  t.true(searches() < 5, `${searches()} searches`);
});

test("no busy loop: a peer's reported backlog does not exist any more", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const entry = {
    team: "large",
    workload: "receipts",
    urgency: "urgent" as const,
    count: 50,
    oldestArrivedAgoMs: 100,
    dueInMs: undefined,
    need: NEED,
  };
  const before = cluster.network.messages;
  cluster.node("2").peers
    .notify("1", loadReportNotice, { ...emptyReport, backlog: [entry] });
  await cluster.settle(200);
  const sent = cluster.network.messages - before;
  t.true(sent < 40, `${sent} messages`);
  t.is(cluster.node("1").placement.offers.size, 0);
  t.is(cluster.node("1").pool.free("a")?.slots, 8);
});

test("no busy loop: a team is at its limit", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const node = cluster.node("1");
  node.allowances.limits.set("large", 0);
  const searches = countWorkerSearches(node);
  const pending = node.requests.run(cluster.request("r"));
  await cluster.settle(200);
  t.true(searches() < 10, `${searches()} searches`);
  await cluster.run(6_000);
  t.is((await pending).type, "notRun");
});

test("limit: a blocked team does not delay other teams", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cluster.node("1");
  matching.blockTeam("large", 1_000);
  const blocked = startable(cluster, "r");
  const free = startable(cluster, "s", { team: "small" });
  matching.submit(blocked);
  matching.submit(free);
  await cluster.settle();
  t.deepEqual([blocked.targets.length, free.targets.length], [0, 1]);
  matching.unblockTeam("large");
  await cluster.settle();
  t.is(blocked.targets.length, 1);
});

test("limit: a block expires", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cluster.node("1");
  matching.blockTeam("large", 100);
  const blocked = startable(cluster, "r");
  matching.submit(blocked);
  await cluster.run(90);
  t.is(blocked.targets.length, 0);
  await cluster.run(20);
  t.is(blocked.targets.length, 1);
});

test("limit: the longer of two blocks applies", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cluster.node("1");
  matching.blockTeam("large", 500);
  matching.blockTeam("large", 50);
  const blocked = startable(cluster, "r");
  matching.submit(blocked);
  await cluster.run(200);
  t.is(blocked.targets.length, 0);
});

test("order: urgent work starts before deferred work that arrived earlier", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching, pool } = cluster.node("1");
  pool.allocate("a", { ...NEED, slots: 7 });
  const order: string[] = [];
  for (const urgency of ["deferred", "urgent"] as const) {
    const item = startable(cluster, urgency, { urgency });
    matching.submit({
      ...item,
      start: () => {
        order.push(urgency);
        pool.allocate("a", NEED);
      },
    });
  }
  await cluster.settle();
  t.deepEqual(order, ["urgent"]);
});

test("order: teams of equal weight start equally many tasks", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching, placement, pool, shares } = cluster.node("1");
  shares.setWeights(new Map([["large", 1], ["small", 1]]));
  const started: Record<string, number> = { large: 0, small: 0 };
  for (let index = 0; index < 20; index++) {
    for (const team of ["large", "small"]) {
      if (team === "small" && index >= 10) continue;
      const id = `${team}${index}`;
      const arrivedAtMs = cluster.clock.monotonic() -
        (team === "large" ? 500 : 0);
      const waiting = { id, team, arrivedAtMs, urgency: "deferred" as const };
      matching.submit({
        ...startable(cluster, id, waiting),
        start: () => {
          started[team]!++;
          placement.addUsage(team, NEED, 1);
          pool.allocate("a", NEED);
        },
      });
    }
  }
  await cluster.settle();
  t.deepEqual(started, { large: 4, small: 4 });
});

test("load report: an older report does not replace a newer one", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], {});
  const { matching } = cluster.node("1");
  const { peers } = cluster.node("2");
  const capacity = { ...NEED, slots: 4, cpuMillis: 8_000, memoryMib: 8_000 };
  peers.notify("1", loadReportNotice, emptyReport);
  await cluster.settle();
  const old = {
    ...emptyReport,
    sequence: 99,
    free: capacity,
    largest: capacity,
  };
  peers.notify("1", loadReportNotice, old);
  await cluster.settle();
  t.is(
    matching.peerLoads.peerWithCapacity(
      workProfile,
      cluster.clock.monotonic(),
    ),
    undefined,
  );
});

test("load report: a stale report is ignored", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], {});
  const { matching } = cluster.node("1");
  const capacity = { ...NEED, slots: 4, cpuMillis: 8_000, memoryMib: 8_000 };
  const fresh = { ...emptyReport, free: capacity, largest: capacity };
  cluster.node("2").peers.notify("1", loadReportNotice, fresh);
  await cluster.settle();
  t.is(
    matching.peerLoads.peerWithCapacity(
      workProfile,
      cluster.clock.monotonic(),
    ),
    "2",
  );
  cluster.network.cut("1", "2");
  await cluster.run(3_000);
  const waiting = startable(cluster, "r");
  matching.submit(waiting);
  await cluster.settle();
  t.is(waiting.targets.length, 0);
});

test("offer: declined if no matching work waits", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const { peers, placement, pool } = cluster.node("1");
  const place = reserveCapacity(cluster.node("1"), NEED);
  const entry = { team: "large", workload: "receipts", urgency: "urgent" };
  const offer = { offer: "o", ...entry, ...place, need: NEED } as Offer;
  const reserved = { ...offer, reservation: "o" };
  placement.offers.add(reserved, 1_000);
  peers.notify("2", offerNotice, offer);
  await cluster.settle();
  t.is(placement.offers.size, 0);
  t.is(pool.free("a")?.slots, 8);
});

test("offer: a need larger than the offer is reserved in full", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const { placement, pool, peers } = cluster.node("1");
  const small = { ...NEED, cpuMillis: 1_000 };
  const place = reserveCapacity(cluster.node("1"), small);
  const entry = { team: "large", workload: "receipts", urgency: "urgent" };
  const offer = { offer: "o", ...entry, ...place, need: small } as Offer;
  placement.offers
    .add({ ...offer, reservation: "o" }, 1_000);
  cluster.worker("a").holdsRequests = true;
  const need = { ...NEED, cpuMillis: 6_000 };
  const held = cluster.node("2");
  held.matching.blockTeam("large", 0);
  held.queue.push(cluster.request("r", { waiting: { need } }).waiting);
  peers.notify("2", offerNotice, offer);
  await cluster.settle();
  const runRequest = {
    id: "r.1",
    team: "large",
    workload: "receipts",
    need,
    idempotent: false,
    request: { ...cluster.request("r").request },
    offer: "o",
    avoid: [],
  };
  void placement.run(runRequest);
  await cluster.settle();
  t.is(pool.allocated("a")?.cpuMillis, 6_000);
});

test("peers: work is pushed to free capacity, which is reserved once", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "2" });
  const worker = cluster.worker("a");
  worker.holdsRequests = true;
  const { requests } = cluster.node("1");
  for (let index = 0; index < 12; index++) {
    void requests.run(cluster.request(`r${index}`, { timeoutMs: 4_000 }));
  }
  await cluster.run(500);
  t.is(worker.executedRequests.length, 8);
  t.is(cluster.node("2").pool.free("a")?.slots, 0);
  t.is(cluster.node("1").queue.size, 4);
});
