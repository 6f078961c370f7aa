import test from "ava";
import {
  type DispatchInstance,
  DispatchTestCluster,
  NEED,
} from "../fakes/dispatch_test_cluster.ts";
import { zeroResources } from "../resources.ts";
import type { Waiting } from "../policy/waiting.ts";
import {
  type LoadReport,
  loadReportNotice,
  type Offer,
  offerNotice,
} from "../wire/dispatch.ts";
import type { Resources } from "../types.ts";
import type { Startable, Target } from "./matching.ts";
import type { Place } from "./placement.ts";

interface Recorded extends Startable {
  readonly targets: Target[];
}

function startable(
  cell: DispatchTestCluster,
  id: string,
  waiting: Partial<Waiting> = {},
): Recorded {
  const targets: Target[] = [];
  return {
    waiting: cell.request(id, { waiting }).waiting,
    targets,
    start: (target) => targets.push(target),
    expired: () => {},
  };
}

function countPlacements(node: DispatchInstance): () => number {
  let looks = 0;
  const findRoom = node.placement.findRoom.bind(node.placement);
  node.placement.findRoom = (need, options) => {
    looks++;
    return findRoom(need, options);
  };
  return () => looks;
}

const errand = { urgency: "urgent" as const, team: "large", need: NEED };

function reservedRoom(node: DispatchInstance, need: Resources): Place {
  const task = { team: "large", workload: "receipts", need };
  const reserved = node.placement.reserve(task, []);
  if (reserved.type === "none") throw new TypeError(reserved.reason.type);
  return reserved.place;
}

const news: LoadReport = {
  sequence: 100,
  free: zeroResources,
  spare: {},
  largest: zeroResources,
  capacity: zeroResources,
  backlog: [],
  usage: {},
};

test("no spin: nothing fits", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const node = cell.node("1");
  const looks = countPlacements(node);
  const need = { ...NEED, cpuMillis: 9_000 };
  node.matching.submit(startable(cell, "r", { need }));
  await cell.settle(100);
  t.true(looks() < 5, `${looks()} looks`);
});

test("no spin: a peer's backlog that is gone", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const lane = {
    team: "large",
    workload: "receipts",
    urgency: "urgent" as const,
    count: 50,
    oldestArrivedAgoMs: 100,
    dueInMs: undefined,
    need: NEED,
  };
  const before = cell.network.messages;
  cell.node("2").peers
    .notify("1", loadReportNotice, { ...news, backlog: [lane] });
  await cell.settle(200);
  const sent = cell.network.messages - before;
  t.true(sent < 40, `${sent} messages`);
  t.is(cell.node("1").placement.offers.size, 0);
  t.is(cell.node("1").pool.free("a")?.slots, 8);
});

test("no spin: a team at its limit", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const node = cell.node("1");
  node.allowances.limits.set("large", 0);
  const looks = countPlacements(node);
  const pending = node.requests.run(cell.request("r"));
  await cell.settle(200);
  t.true(looks() < 10, `${looks()} looks`);
  await cell.run(6_000);
  t.is((await pending).type, "notRun");
});

test("limit: a blocked team does not hold up the others", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cell.node("1");
  matching.block("large", 1_000);
  const blocked = startable(cell, "r");
  const free = startable(cell, "s", { team: "small" });
  matching.submit(blocked);
  matching.submit(free);
  await cell.settle();
  t.deepEqual([blocked.targets.length, free.targets.length], [0, 1]);
  matching.gained("large");
  await cell.settle();
  t.is(blocked.targets.length, 1);
});

test("limit: a block ends by itself", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cell.node("1");
  matching.block("large", 100);
  const blocked = startable(cell, "r");
  matching.submit(blocked);
  await cell.run(90);
  t.is(blocked.targets.length, 0);
  await cell.run(20);
  t.is(blocked.targets.length, 1);
});

test("limit: the longer of two blocks holds", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching } = cell.node("1");
  matching.block("large", 500);
  matching.block("large", 50);
  const blocked = startable(cell, "r");
  matching.submit(blocked);
  await cell.run(200);
  t.is(blocked.targets.length, 0);
});

test("heads: urgent before deferred, whichever came first", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching, pool } = cell.node("1");
  pool.take("a", { ...NEED, slots: 7 });
  const order: string[] = [];
  for (const urgency of ["deferred", "urgent"] as const) {
    const item = startable(cell, urgency, { urgency });
    matching.submit({
      ...item,
      start: () => {
        order.push(urgency);
        pool.take("a", NEED);
      },
    });
  }
  await cell.settle();
  t.deepEqual(order, ["urgent"]);
});

test("heads: teams of equal weight take turns", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1" });
  const { matching, placement, pool, shares } = cell.node("1");
  shares.setWeights(new Map([["large", 1], ["small", 1]]));
  const started: Record<string, number> = { large: 0, small: 0 };
  for (let index = 0; index < 20; index++) {
    for (const team of ["large", "small"]) {
      if (team === "small" && index >= 10) continue;
      const id = `${team}${index}`;
      const arrivedAtMs = cell.clock.monotonic() - (team === "large" ? 500 : 0);
      const waiting = { id, team, arrivedAtMs, urgency: "deferred" as const };
      matching.submit({
        ...startable(cell, id, waiting),
        start: () => {
          started[team]!++;
          placement.charge(team, NEED, 1);
          pool.take("a", NEED);
        },
      });
    }
  }
  await cell.settle();
  t.deepEqual(started, { large: 4, small: 4 });
});

test("news: older news is not taken after newer", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], {});
  const { matching } = cell.node("1");
  const { peers } = cell.node("2");
  const room = { ...NEED, slots: 4, cpuMillis: 8_000, memoryMib: 8_000 };
  peers.notify("1", loadReportNotice, news);
  await cell.settle();
  const old = { ...news, sequence: 99, free: room, largest: room };
  peers.notify("1", loadReportNotice, old);
  await cell.settle();
  t.is(matching.neighbours.withRoom(errand, cell.clock.monotonic()), undefined);
});

test("news: stale news is not acted on", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], {});
  const { matching } = cell.node("1");
  const room = { ...NEED, slots: 4, cpuMillis: 8_000, memoryMib: 8_000 };
  const fresh = { ...news, free: room, largest: room };
  cell.node("2").peers.notify("1", loadReportNotice, fresh);
  await cell.settle();
  t.is(matching.neighbours.withRoom(errand, cell.clock.monotonic()), "2");
  cell.network.cut("1", "2");
  await cell.run(3_000);
  const waiting = startable(cell, "r");
  matching.submit(waiting);
  await cell.settle();
  t.is(waiting.targets.length, 0);
});

test("offer: declined when nothing waits any more", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const { peers, placement, pool } = cell.node("1");
  const place = reservedRoom(cell.node("1"), NEED);
  const lane = { team: "large", workload: "receipts", urgency: "urgent" };
  const offer = { offer: "o", ...lane, ...place, need: NEED } as Offer;
  const room = { ...offer, reservation: "o" };
  placement.offers.hold(room, 1_000);
  peers.notify("2", offerNotice, offer);
  await cell.settle();
  t.is(placement.offers.size, 0);
  t.is(pool.free("a")?.slots, 8);
});

test("offer: a larger need than was offered", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const { placement, pool, peers } = cell.node("1");
  const small = { ...NEED, cpuMillis: 1_000 };
  const place = reservedRoom(cell.node("1"), small);
  const lane = { team: "large", workload: "receipts", urgency: "urgent" };
  const offer = { offer: "o", ...lane, ...place, need: small } as Offer;
  placement.offers
    .hold({ ...offer, reservation: "o" }, 1_000);
  cell.worker("a").holdsRequests = true;
  const need = { ...NEED, cpuMillis: 6_000 };
  const held = cell.node("2");
  held.matching.block("large", 0);
  held.queue.push(cell.request("r", { waiting: { need } }).waiting);
  peers.notify("2", offerNotice, offer);
  await cell.settle();
  const order = {
    id: "r.1",
    team: "large",
    workload: "receipts",
    need,
    idempotent: false,
    request: { ...cell.request("r").request },
    offer: "o",
    avoid: [],
  };
  void placement.run(order);
  await cell.settle();
  t.is(pool.taken("a")?.cpuMillis, 6_000);
});

test("peers: work goes where room is, and its room is taken once", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "2" });
  const worker = cell.worker("a");
  worker.holdsRequests = true;
  const { requests } = cell.node("1");
  for (let index = 0; index < 12; index++) {
    void requests.run(cell.request(`r${index}`, { timeoutMs: 4_000 }));
  }
  await cell.run(500);
  t.is(worker.executedRequests.length, 8);
  t.is(cell.node("2").pool.free("a")?.slots, 0);
  t.is(cell.node("1").queue.size, 4);
});
