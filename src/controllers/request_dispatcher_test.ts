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
const separate = () => new DispatchTestCluster().start(["1", "2"], { a: "2" });

async function outcomeOf(
  cluster: DispatchTestCluster,
  pending: Promise<Outcome>,
  waitMs = 8_000,
): Promise<string> {
  let outcome: Outcome | undefined;
  void pending.then((value) => outcome = value);
  await cluster.run(waitMs);
  return outcome?.type ?? "none";
}

/**
 * For each worker failure: the outcome that the caller gets, and how often the
 * worker may have run the request.
 */
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
  for (const [place, start] of Object.entries({ alone, separate })) {
    test(`${fault}: ${idempotent ? "idempotent" : "non-idempotent"} request, ${place}`, async (t) => {
      const cluster = await start();
      cluster.worker("a").faults.set("request", fault);
      const request = cluster.request("r", { idempotent });
      const pending = cluster.node("1").requests.run(request);
      t.is(await outcomeOf(cluster, pending), outcome);
      t.true(cluster.worker("a").executedRequests.length <= most);
      await cluster.run(3_000);
      for (const node of cluster.nodes.values()) {
        t.is(node.allowances.running("large"), 0);
      }
    });
  }
}

test("peer: a request that cannot reach its peer is not run", async (t) => {
  const cluster = await separate();
  cluster.network.cut("1", "2");
  const pending = cluster.node("1").requests.run(cluster.request("r"));
  t.is(await outcomeOf(cluster, pending), "notRun");
  t.is(cluster.worker("a").executedRequests.length, 0);
});

test("peer: a request is unknown if the peer is silent after the start", async (t) => {
  const cluster = await separate();
  cluster.worker("a").holdsRequests = true;
  const pending = cluster.node("1").requests.run(cluster.request("r"));
  await cluster.settle();
  t.is(cluster.worker("a").executedRequests.length, 1);
  cluster.network.cut("1", "2");
  t.is(await outcomeOf(cluster, pending, 12_000), "unknown");
  t.is(cluster.worker("a").executedRequests.length, 1);
});

test("peer: a request runs once if the peer is silent for longer than run requests are kept", async (t) => {
  const cluster = await separate();
  cluster.worker("a").holdsRequests = true;
  const request = cluster.request("r", { timeoutMs: 20_000 });
  const pending = cluster.node("1").requests.run(request);
  await cluster.settle();
  t.is(cluster.worker("a").executedRequests.length, 1);
  cluster.network.cut("1", "2");
  await cluster.run(18_000);
  cluster.network.heal("1", "2");
  cluster.worker("a").holdsRequests = false;
  const other = cluster.node("2").requests.run(cluster.request("other"));
  t.is(await outcomeOf(cluster, other, 1_000), "done");
  t.is(await outcomeOf(cluster, pending, 10_000), "unknown");
  t.is(
    cluster.worker("a").executedRequests.filter(({ path }) => path === "/r")
      .length,
    1,
  );
});

test("late answer: a request runs once and has one outcome", async (t) => {
  const cluster = await separate();
  cluster.worker("a").holdsRequests = true;
  const pending = cluster.node("1").requests.run(cluster.request("r"));
  await cluster.run(1_900);
  cluster.worker("a").pending[0]!.finish(ok(createResponse()));
  t.is(await outcomeOf(cluster, pending), "done");
  t.is(cluster.worker("a").executedRequests.length, 1);
});

function createRunRequest(
  cluster: DispatchTestCluster,
  id: string,
  need = NEED,
) {
  const { request, waiting, idempotent } = cluster.request(id);
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

test("resolve: a run request that arrives later is never started", async (t) => {
  const cluster = await alone();
  const { placement } = cluster.node("1");
  t.false(placement.resolveRun("r.1"));
  const result = await placement.run(createRunRequest(cluster, "r.1"));
  t.is(result.type, "notStarted");
  t.is(cluster.worker("a").executedRequests.length, 0);
});

/** Reserves capacity for a run request, as an offer does. */
function reserveByOffer(
  cluster: DispatchTestCluster,
  runRequest: RunRequest,
): RunRequest {
  const { placement } = cluster.node("1");
  const reserved = placement.reserve(runRequest, []);
  if (reserved.type === "none") throw new TypeError("no room");
  const { team, need } = runRequest;
  const { place } = reserved;
  const room = { offer: "o", reservation: "o", ...place, team, need };
  placement.offers.add(room, 1_000);
  return { ...runRequest, offer: "o" };
}

test("resolve: a run request with reserved capacity is never started", async (t) => {
  const cluster = await alone();
  const { placement, allowances, pool } = cluster.node("1");
  const runRequest = reserveByOffer(cluster, createRunRequest(cluster, "r.1"));
  t.false(placement.resolveRun("r.1"));
  t.is((await placement.run(runRequest)).type, "notStarted");
  t.is(cluster.worker("a").executedRequests.length, 0);
  await cluster.run(1_100);
  t.is(allowances.running("large"), 0);
  t.is(pool.allocated("a")?.slots, 0);
});

test("no allowance: no capacity is reserved while more is requested", async (t) => {
  const cluster = await alone();
  const { placement, allowances, pool } = cluster.node("1");
  allowances.exhausted = true;
  const result = await placement.run(createRunRequest(cluster, "r.1"));
  t.is(result.type === "notStarted" && result.reason.type, "overLimit");
  t.deepEqual(allowances.requestedTeams, ["large"]);
  t.is(pool.allocated("a")?.slots, 0);
  t.is(cluster.worker("a").executedRequests.length, 0);
});

test("duplicate run request: not reported as not started while the first runs", async (t) => {
  const cluster = await alone();
  cluster.worker("a").holdsRequests = true;
  const { placement } = cluster.node("1");
  void placement.run(createRunRequest(cluster, "r.1"));
  await cluster.settle();
  const again = await placement.run(createRunRequest(cluster, "r.1"));
  t.is(again.type, "lost");
  t.is(cluster.worker("a").executedRequests.length, 1);
});

for (const loss of ["contact", "ownership"] as const) {
  test(`owner: nothing is sent if ${loss} is lost after capacity was reserved`, async (t) => {
    const cluster = await alone();
    const { placement, allowances, authority, pool } = cluster.node("1");
    const runRequest = reserveByOffer(
      cluster,
      createRunRequest(cluster, "r.1"),
    );
    if (loss === "contact") authority.isLeaseValid = false;
    else cluster.own("a", undefined);
    t.is((await placement.run(runRequest)).type, "notStarted");
    t.is(cluster.worker("a").executedRequests.length, 0);
    t.is(allowances.running("large"), 0);
    t.true((pool.allocated("a")?.slots ?? 0) === 0);
  });
}

test("owner: reserved capacity is released if a worker is lost and regained", async (t) => {
  const cluster = await alone();
  const { placement, pool } = cluster.node("1");
  const runRequest = reserveByOffer(cluster, createRunRequest(cluster, "r.1"));
  cluster.own("a", undefined);
  cluster.own("a", "1");
  t.is((await placement.run(runRequest)).type, "notStarted");
  await cluster.run(2_000);
  t.is(pool.allocated("a")?.slots, 0);
  t.is(pool.free("a")?.slots, 8);
});

test("owner: requests in flight stay counted if a worker is lost and regained", async (t) => {
  const cluster = await alone();
  const { requests, pool } = cluster.node("1");
  const worker = cluster.worker("a");
  worker.holdsRequests = true;
  const pending = ["r", "s", "u"].map((id) =>
    requests.run(cluster.request(id, { timeoutMs: 20_000 }))
  );
  await cluster.settle();
  worker.requests = 3;
  cluster.own("a", undefined);
  cluster.own("a", "1");
  await cluster.run(2_000);
  t.is(pool.allocated("a")?.slots, 3);
  t.is(pool.free("a")?.slots, 5);
  for (const held of worker.pending) held.finish(ok(createResponse()));
  worker.requests = 0;
  t.deepEqual(
    (await Promise.all(pending)).map(({ type }) => type),
    ["done", "done", "done"],
  );
  await cluster.run(2_000);
  t.is(pool.free("a")?.slots, 8);
});

test("owner: a former owner's requests count with the largest need of all workloads", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const need = { ...NEED, cpuMillis: 6_000 };
  const receipts = cluster.workloads.get("receipts")!;
  cluster.workloads.set("receipts", { ...receipts, resources: need });
  const worker = cluster.worker("a");
  worker.holdsRequests = true;
  void cluster.node("1").placement.run(createRunRequest(cluster, "r.1", need));
  await cluster.settle();
  worker.requests = 1;
  cluster.own("a", "2");
  await cluster.run(15_000);
  const { pool } = cluster.node("2");
  t.true(pool.isUsable("a"));
  t.true(pool.free("a")!.cpuMillis <= 2_000);
});

test("lost request: its capacity stays reserved until a report shows that it ended", async (t) => {
  const cluster = await alone();
  const { placement, pool } = cluster.node("1");
  const worker = cluster.worker("a");
  const need = { ...NEED, cpuMillis: 6_000 };
  worker.faults.set("request", "workerSilent");
  worker.requests = 1;
  t.is(
    (await placement.run(createRunRequest(cluster, "r.1", need))).type,
    "lost",
  );
  t.true(pool.free("a")!.cpuMillis <= 2_000);
  await cluster.run(2_000);
  t.true(pool.free("a")!.cpuMillis <= 2_000);
  worker.requests = 0;
  await cluster.run(2_000);
  t.is(pool.free("a")?.cpuMillis, 8_000);
});

test("lost request: an older report does not show that it ended", async (t) => {
  const cluster = await alone();
  const { placement, allowances } = cluster.node("1");
  const worker = cluster.worker("a");
  await cluster.run(6_000);
  worker.ageMs = 4_000;
  worker.faults.set("request", "workerSilent");
  await placement.run(createRunRequest(cluster, "r.1"));
  await cluster.run(2_500);
  t.is(allowances.running("large"), 1);
  await cluster.run(5_000);
  t.is(allowances.running("large"), 0);
});

test("retry budget: a lost idempotent request is unknown once the budget is spent", async (t) => {
  const cluster = await alone();
  const { retryBudget, requests } = cluster.node("1");
  while (retryBudget.withdraw());
  cluster.worker("a").faults.set("request", "workerSilent");
  const pending = requests.run(cluster.request("r", { idempotent: true }));
  t.is(await outcomeOf(cluster, pending, 100), "unknown");
  t.is(cluster.worker("a").executedRequests.length, 1);
});

test("lost idempotent request: its outcome is never notRun", async (t) => {
  const cluster = await alone();
  const worker = cluster.worker("a");
  worker.holdsRequests = true;
  const pending = cluster.node("1").requests
    .run(cluster.request("r", { idempotent: true }));
  await cluster.settle();
  worker.faults.set("request", "workerRefused");
  worker.pending[0]!.finish(err(createWorkerFailure("workerSilent")));
  t.is(await outcomeOf(cluster, pending), "unknown");
});

test("deadline: a request that cannot be answered in time is rejected at once", async (t) => {
  const cluster = await alone();
  cluster.node("1").canAnswerInTime = false;
  const outcome = await cluster.node("1").requests.run(cluster.request("r"));
  t.is(outcome.type === "notRun" && outcome.reason.type, "deadlineTooClose");
  t.is(outcome.type === "notRun" && outcome.retryAfterMs, 100);
  t.is(cluster.worker("a").executedRequests.length, 0);
});

test("deadline: a request whose deadline passes in the queue is not run", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], {});
  const pending = cluster.node("1").requests.run(cluster.request("r"));
  t.is(await outcomeOf(cluster, pending, 5_010), "notRun");
});

test("deadline: a request whose deadline passed during a pause is not started", async (t) => {
  const cluster = await alone();
  const node = cluster.node("1");
  const waiting = { deadlineAtMs: cluster.clock.monotonic() - 1 };
  const pending = node.requests.run(cluster.request("r", { waiting }));
  await cluster.settle();
  t.is(cluster.worker("a").executedRequests.length, 0);
  t.is(await outcomeOf(cluster, pending, 2_000), "notRun");
});

test("caller disconnected: a waiting request never runs", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], {});
  const { requests } = cluster.node("1");
  const pending = requests.run(cluster.request("r"));
  requests.cancel("r");
  t.is((await pending).type, "notRun");
  t.is(requests.inFlight, 0);
});

test("caller disconnected: a request that was not started is not retried", async (t) => {
  const cluster = await alone();
  const worker = cluster.worker("a");
  const { requests } = cluster.node("1");
  worker.holdsRequests = true;
  const pending = requests.run(cluster.request("r"));
  await cluster.settle();
  requests.cancel("r");
  worker.pending[0]!.finish(err(createWorkerFailure("workerRefused")));
  worker.executedRequests.length = 0;
  t.is(await outcomeOf(cluster, pending, 2_000), "notRun");
  t.is(worker.executedRequests.length, 0);
});

test("no busy loop: the only worker with free capacity has failed the request", async (t) => {
  const cluster = await alone();
  const { requests, matching } = cluster.node("1");
  cluster.worker("a").faults.set("request", "workerRefused");
  let submits = 0;
  const submit = matching.submit.bind(matching);
  matching.submit = (startable) => {
    submits++;
    return submit(startable);
  };
  const pending = requests.run(cluster.request("r"));
  await cluster.settle(100);
  t.true(submits < 10, `${submits} submits`);
  t.is(await outcomeOf(cluster, pending), "notRun");
});

test("over limit: a request waits and runs once allowance is available", async (t) => {
  const cluster = await alone();
  const { requests, allowances } = cluster.node("1");
  allowances.limits.set("large", 0);
  const pending = requests.run(cluster.request("r"));
  await cluster.run(500);
  t.is(cluster.worker("a").executedRequests.length, 0);
  allowances.limits.set("large", 1);
  t.is(await outcomeOf(cluster, pending, 500), "done");
});

test("over limit: attempts that reached no worker use up no retries", async (t) => {
  const cluster = await alone();
  const worker = cluster.worker("a");
  const { requests, allowances } = cluster.node("1");
  allowances.limits.set("large", 0);
  const pending = requests.run(cluster.request("r", { idempotent: true }));
  await cluster.run(1_000);
  worker.holdsRequests = true;
  allowances.limits.set("large", 1);
  await cluster.run(200);
  worker.holdsRequests = false;
  worker.pending[0]!.finish(err(createWorkerFailure("workerSilent")));
  allowances.limits.set("large", 2);
  t.is(await outcomeOf(cluster, pending, 3_000), "done");
});
