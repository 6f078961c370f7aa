import test from "ava";
import type { WorkerFailure } from "../errors.ts";
import {
  createResponse,
  createWorkerFailure,
} from "../fakes/memory_upstream.ts";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import { err, ok } from "neverthrow";
import type { Outcome } from "../types.ts";
import type { RunRequest } from "../wire/dispatch.ts";

const alone = () => new DispatchTestCluster().start(["1"], { a: "1" });
const apart = () => new DispatchTestCluster().start(["1", "2"], { a: "2" });

async function outcomeOf(
  cell: DispatchTestCluster,
  pending: Promise<Outcome>,
  waitMs = 8_000,
): Promise<string> {
  let outcome: Outcome | undefined;
  void pending.then((value) => outcome = value);
  await cell.run(waitMs);
  return outcome?.type ?? "none";
}

/** What a worker's fault lets the caller be told, and how often the worker ran it. */
const workerFaults: readonly [
  WorkerFailure["type"],
  { idempotent: boolean; outcome: string; most: number },
][] = [
  ["workerUnreached", { idempotent: false, outcome: "notRun", most: 0 }],
  ["workerUnreached", { idempotent: true, outcome: "notRun", most: 0 }],
  ["workerRefused", { idempotent: false, outcome: "notRun", most: 0 }],
  ["workerRefused", { idempotent: true, outcome: "notRun", most: 0 }],
  ["workerLeaving", { idempotent: false, outcome: "notRun", most: 0 }],
  ["workerLeaving", { idempotent: true, outcome: "notRun", most: 0 }],
  ["workerFenced", { idempotent: false, outcome: "notRun", most: 0 }],
  ["workerFenced", { idempotent: true, outcome: "notRun", most: 0 }],
  ["workerSilent", { idempotent: false, outcome: "unknown", most: 1 }],
  ["workerSilent", { idempotent: true, outcome: "unknown", most: 5 }],
];

for (const [fault, { idempotent, outcome, most }] of workerFaults) {
  for (const [place, start] of Object.entries({ alone, apart })) {
    test(`${fault}: ${idempotent ? "idempotent" : "once"}, ${place}`, async (t) => {
      const cell = await start();
      cell.worker("a").faults.set("request", fault);
      const request = cell.request("r", { idempotent });
      const pending = cell.node("1").requests.run(request);
      t.is(await outcomeOf(cell, pending), outcome);
      t.true(cell.worker("a").executedRequests.length <= most);
      await cell.run(3_000);
      for (const node of cell.nodes.values()) {
        t.is(node.allowances.running("large"), 0);
      }
    });
  }
}

test("peer: unreached before the start", async (t) => {
  const cell = await apart();
  cell.network.cut("1", "2");
  const pending = cell.node("1").requests.run(cell.request("r"));
  t.is(await outcomeOf(cell, pending), "notRun");
  t.is(cell.worker("a").executedRequests.length, 0);
});

test("peer: silent after the start", async (t) => {
  const cell = await apart();
  cell.worker("a").holdsRequests = true;
  const pending = cell.node("1").requests.run(cell.request("r"));
  await cell.settle();
  t.is(cell.worker("a").executedRequests.length, 1);
  cell.network.cut("1", "2");
  t.is(await outcomeOf(cell, pending, 12_000), "unknown");
  t.is(cell.worker("a").executedRequests.length, 1);
});

test("peer: silent for longer than orders were remembered", async (t) => {
  const cell = await apart();
  cell.worker("a").holdsRequests = true;
  const request = cell.request("r", { timeoutMs: 20_000 });
  const pending = cell.node("1").requests.run(request);
  await cell.settle();
  t.is(cell.worker("a").executedRequests.length, 1);
  cell.network.cut("1", "2");
  await cell.run(18_000);
  cell.network.heal("1", "2");
  cell.worker("a").holdsRequests = false;
  const other = cell.node("2").requests.run(cell.request("other"));
  t.is(await outcomeOf(cell, other, 1_000), "done");
  t.is(await outcomeOf(cell, pending, 10_000), "unknown");
  t.is(
    cell.worker("a").executedRequests.filter(({ path }) => path === "/r")
      .length,
    1,
  );
});

test("late answer: one outcome, one run", async (t) => {
  const cell = await apart();
  cell.worker("a").holdsRequests = true;
  const pending = cell.node("1").requests.run(cell.request("r"));
  await cell.run(1_900);
  cell.worker("a").pending[0]!.finish(ok(createResponse()));
  t.is(await outcomeOf(cell, pending), "done");
  t.is(cell.worker("a").executedRequests.length, 1);
});

function orderOf(cell: DispatchTestCluster, id: string, need = NEED) {
  const { request, waiting, idempotent } = cell.request(id);
  const { team, workload } = waiting;
  const { ...sent } = request;
  return {
    id,
    team,
    workload,
    need,
    idempotent,
    request: sent,
    offer: undefined,
    avoid: [],
  };
}

test("settle: an order that comes later is never started", async (t) => {
  const cell = await alone();
  const { placement } = cell.node("1");
  t.false(placement.settle("r.1"));
  const result = await placement.run(orderOf(cell, "r.1"));
  t.is(result.type, "notStarted");
  t.is(cell.worker("a").executedRequests.length, 0);
});

/** Holds room for an order as an offer does. */
function holdRoom(cell: DispatchTestCluster, order: RunRequest): RunRequest {
  const { placement } = cell.node("1");
  const reserved = placement.reserve(order, []);
  if (reserved.type === "none") throw new TypeError("no room");
  const { team, need } = order;
  const { place } = reserved;
  const room = { offer: "o", reservation: "o", ...place, team, need };
  placement.offers.hold(room, 1_000);
  return { ...order, offer: "o" };
}

test("settle: an order for which room is held is never started", async (t) => {
  const cell = await alone();
  const { placement, allowances, pool } = cell.node("1");
  const order = holdRoom(cell, orderOf(cell, "r.1"));
  t.false(placement.settle("r.1"));
  t.is((await placement.run(order)).type, "notStarted");
  t.is(cell.worker("a").executedRequests.length, 0);
  await cell.run(1_100);
  t.is(allowances.running("large"), 0);
  t.is(pool.taken("a")?.slots, 0);
});

test("no allowance: no room is held while more is asked for", async (t) => {
  const cell = await alone();
  const { placement, allowances, pool } = cell.node("1");
  allowances.exhausted = true;
  const result = await placement.run(orderOf(cell, "r.1"));
  t.is(result.type === "notStarted" && result.reason.type, "overLimit");
  t.deepEqual(allowances.requestedTeams, ["large"]);
  t.is(pool.taken("a")?.slots, 0);
  t.is(cell.worker("a").executedRequests.length, 0);
});

test("duplicate order: never told as not started while the first runs", async (t) => {
  const cell = await alone();
  cell.worker("a").holdsRequests = true;
  const { placement } = cell.node("1");
  void placement.run(orderOf(cell, "r.1"));
  await cell.settle();
  const again = await placement.run(orderOf(cell, "r.1"));
  t.is(again.type, "lost");
  t.is(cell.worker("a").executedRequests.length, 1);
});

for (const loss of ["contact", "ownership"] as const) {
  test(`owner: loses ${loss} between room and sending`, async (t) => {
    const cell = await alone();
    const { placement, allowances, authority, pool } = cell.node("1");
    const order = holdRoom(cell, orderOf(cell, "r.1"));
    if (loss === "contact") authority.isLeaseValid = false;
    else cell.own("a", undefined);
    t.is((await placement.run(order)).type, "notStarted");
    t.is(cell.worker("a").executedRequests.length, 0);
    t.is(allowances.running("large"), 0);
    t.true((pool.taken("a")?.slots ?? 0) === 0);
  });
}

test("owner: regains a worker while room is held on it", async (t) => {
  const cell = await alone();
  const { placement, pool } = cell.node("1");
  const order = holdRoom(cell, orderOf(cell, "r.1"));
  cell.own("a", undefined);
  cell.own("a", "1");
  t.is((await placement.run(order)).type, "notStarted");
  await cell.run(2_000);
  t.is(pool.taken("a")?.slots, 0);
  t.is(pool.free("a")?.slots, 8);
});

test("owner: requests in flight stay counted when a worker comes back", async (t) => {
  const cell = await alone();
  const { requests, pool } = cell.node("1");
  const worker = cell.worker("a");
  worker.holdsRequests = true;
  const pending = ["r", "s", "u"].map((id) =>
    requests.run(cell.request(id, { timeoutMs: 20_000 }))
  );
  await cell.settle();
  worker.requests = 3;
  cell.own("a", undefined);
  cell.own("a", "1");
  await cell.run(2_000);
  t.is(pool.taken("a")?.slots, 3);
  t.is(pool.free("a")?.slots, 5);
  for (const held of worker.pending) held.finish(ok(createResponse()));
  worker.requests = 0;
  t.deepEqual(
    (await Promise.all(pending)).map(({ type }) => type),
    ["done", "done", "done"],
  );
  await cell.run(2_000);
  t.is(pool.free("a")?.slots, 8);
});

test("owner: a former owner's requests count with the largest need there is", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const need = { ...NEED, cpuMillis: 6_000 };
  const receipts = cell.workloads.get("receipts")!;
  cell.workloads.set("receipts", { ...receipts, resources: need });
  const worker = cell.worker("a");
  worker.holdsRequests = true;
  void cell.node("1").placement.run(orderOf(cell, "r.1", need));
  await cell.settle();
  worker.requests = 1;
  cell.own("a", "2");
  await cell.run(15_000);
  const { pool } = cell.node("2");
  t.true(pool.usable("a"));
  t.true(pool.free("a")!.cpuMillis <= 2_000);
});

test("lost request: its room stays taken until a report shows it gone", async (t) => {
  const cell = await alone();
  const { placement, pool } = cell.node("1");
  const worker = cell.worker("a");
  const need = { ...NEED, cpuMillis: 6_000 };
  worker.faults.set("request", "workerSilent");
  worker.requests = 1;
  t.is((await placement.run(orderOf(cell, "r.1", need))).type, "lost");
  t.true(pool.free("a")!.cpuMillis <= 2_000);
  await cell.run(2_000);
  t.true(pool.free("a")!.cpuMillis <= 2_000);
  worker.requests = 0;
  await cell.run(2_000);
  t.is(pool.free("a")?.cpuMillis, 8_000);
});

test("lost request: an older report does not show it gone", async (t) => {
  const cell = await alone();
  const { placement, allowances } = cell.node("1");
  const worker = cell.worker("a");
  await cell.run(6_000);
  worker.ageMs = 4_000;
  worker.faults.set("request", "workerSilent");
  await placement.run(orderOf(cell, "r.1"));
  await cell.run(2_500);
  t.is(allowances.running("large"), 1);
  await cell.run(5_000);
  t.is(allowances.running("large"), 0);
});

test("retry budget: spent, a lost idempotent request is unknown", async (t) => {
  const cell = await alone();
  const { retries, requests } = cell.node("1");
  while (retries.withdraw());
  cell.worker("a").faults.set("request", "workerSilent");
  const pending = requests.run(cell.request("r", { idempotent: true }));
  t.is(await outcomeOf(cell, pending, 100), "unknown");
  t.is(cell.worker("a").executedRequests.length, 1);
});

test("lost idempotent request: never told notRun", async (t) => {
  const cell = await alone();
  const worker = cell.worker("a");
  worker.holdsRequests = true;
  const pending = cell.node("1").requests
    .run(cell.request("r", { idempotent: true }));
  await cell.settle();
  worker.faults.set("request", "workerRefused");
  worker.pending[0]!.finish(err(createWorkerFailure("workerSilent")));
  t.is(await outcomeOf(cell, pending), "unknown");
});

test("deadline: a request that cannot be answered in time is refused at once", async (t) => {
  const cell = await alone();
  cell.node("1").canAnswerInTime = false;
  const outcome = await cell.node("1").requests.run(cell.request("r"));
  t.is(outcome.type === "notRun" && outcome.reason.type, "deadlineTooClose");
  t.is(outcome.type === "notRun" && outcome.retryAfterMs, 100);
  t.is(cell.worker("a").executedRequests.length, 0);
});

test("deadline: passes in the queue", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], {});
  const pending = cell.node("1").requests.run(cell.request("r"));
  t.is(await outcomeOf(cell, pending, 5_010), "notRun");
});

test("deadline: passed during a pause, never started after it", async (t) => {
  const cell = await alone();
  const node = cell.node("1");
  const waiting = { deadlineAtMs: cell.clock.monotonic() - 1 };
  const pending = node.requests.run(cell.request("r", { waiting }));
  await cell.settle();
  t.is(cell.worker("a").executedRequests.length, 0);
  t.is(await outcomeOf(cell, pending, 2_000), "notRun");
});

test("caller gone: a waiting request never runs", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], {});
  const { requests } = cell.node("1");
  const pending = requests.run(cell.request("r"));
  requests.abandon("r");
  t.is((await pending).type, "notRun");
  t.is(requests.inFlight, 0);
});

test("caller gone: a request that comes back not started never runs", async (t) => {
  const cell = await alone();
  const worker = cell.worker("a");
  const { requests } = cell.node("1");
  worker.holdsRequests = true;
  const pending = requests.run(cell.request("r"));
  await cell.settle();
  requests.abandon("r");
  worker.pending[0]!.finish(err(createWorkerFailure("workerRefused")));
  worker.executedRequests.length = 0;
  t.is(await outcomeOf(cell, pending, 2_000), "notRun");
  t.is(worker.executedRequests.length, 0);
});

test("no spin: the only worker with room has failed the request", async (t) => {
  const cell = await alone();
  const { requests, matching } = cell.node("1");
  cell.worker("a").faults.set("request", "workerRefused");
  let submits = 0;
  const submit = matching.submit.bind(matching);
  matching.submit = (startable) => {
    submits++;
    return submit(startable);
  };
  const pending = requests.run(cell.request("r"));
  await cell.settle(100);
  t.true(submits < 10, `${submits} submits`);
  t.is(await outcomeOf(cell, pending), "notRun");
});

test("over limit: waits, then runs once there is allowance", async (t) => {
  const cell = await alone();
  const { requests, allowances } = cell.node("1");
  allowances.limits.set("large", 0);
  const pending = requests.run(cell.request("r"));
  await cell.run(500);
  t.is(cell.worker("a").executedRequests.length, 0);
  allowances.limits.set("large", 1);
  t.is(await outcomeOf(cell, pending, 500), "done");
});

test("over limit: tries that reached no worker leave the retries whole", async (t) => {
  const cell = await alone();
  const worker = cell.worker("a");
  const { requests, allowances } = cell.node("1");
  allowances.limits.set("large", 0);
  const pending = requests.run(cell.request("r", { idempotent: true }));
  await cell.run(1_000);
  worker.holdsRequests = true;
  allowances.limits.set("large", 1);
  await cell.run(200);
  worker.holdsRequests = false;
  worker.pending[0]!.finish(err(createWorkerFailure("workerSilent")));
  allowances.limits.set("large", 2);
  t.is(await outcomeOf(cell, pending, 3_000), "done");
});
