import test from "ava";
import type { WorkerRecord } from "./checker.ts";
import { type Bed, holds, openBed } from "./_faulted_load_test.ts";
import { call, type Reply } from "./http.ts";
import { pause, type Testbed } from "./testbed.ts";

/** Bound on a change that the list has told. */
const LEAVE_MS = 3_000;
const REQUESTS = 60;
/** New limit; a gang of the set has as many tasks. */
const LIMIT = 6;

function ask({ bed, keys }: Bed, index = 0): Promise<Reply> {
  return call(bed.nodes[index]!.callers, {
    path: "/v1/request/recipe-check/x",
    headers: { authorization: `Bearer ${keys["counter"]}`, "x-work-ms": "5" },
  });
}

async function recordOf(bed: Testbed, id: string): Promise<WorkerRecord> {
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  return workers.find(({ worker }) => worker === id)!;
}

test.serial("a leaving worker gets no new work", async (t) => {
  const bed = await openBed(t);
  const { listControl } = bed.bed;
  for (let count = 0; count < REQUESTS; count++) await ask(bed, count % 3);
  const leaveWorkers = ["worker-1"];
  await bed.bed.control(listControl, "/control", { leaveWorkers });
  const toldAtMs = Date.now();
  while (Date.now() < toldAtMs + LEAVE_MS) await ask(bed);
  const atMs = Date.now();
  for (let count = 0; count < REQUESTS; count++) {
    t.is((await ask(bed, count % 3)).status, 200);
  }
  const { requests } = await recordOf(bed.bed, "worker-1");
  t.deepEqual(requests.filter(({ startedAtMs }) => startedAtMs > atMs), []);
});

test.serial("urgent requests go on while the store is away", async (t) => {
  const bed = await openBed(t);
  const { storeControl } = bed.bed;
  await bed.bed.control(storeControl, "/control", { outage: "refuse" });
  const until = Date.now() + 8_000;
  const statuses = new Set<number>();
  for (let count = 0; Date.now() < until; count++) {
    statuses.add((await ask(bed, count % 3)).status);
    await pause(20);
  }
  t.deepEqual([...statuses], [200]);
  const refused = await call(bed.bed.nodes[0]!.callers, {
    method: "POST",
    path: "/v1/work",
    headers: { authorization: `Bearer ${bed.keys["billing"]}` },
    body: JSON.stringify({ workload: "billing-run", payload: "" }),
  });
  t.is(refused.headers["zinniapoint-outcome"], "notRun");
  t.like(JSON.parse(refused.body), { type: "storeAway" });
  t.truthy(refused.headers["retry-after"]);
  await bed.bed.control(storeControl, "/control", { outage: false });
  t.true(await holds(async () => (await ask(bed)).status === 200));
});

test.serial("a published limit comes into force everywhere", async (t) => {
  const bed = await openBed(t);
  const { text } = bed;
  await bed.bed.publish(text.replace("running = 20", `running = ${LIMIT}`));
  const startMs = Date.now();
  for (const node of bed.bed.nodes) {
    t.true(
      await holds(async () => {
        const { teams } = await bed.bed.operate(node, "/v1/status") as {
          teams: { team: string; limit: number }[];
        };
        return teams.some(({ team, limit }) =>
          team === "counter" && limit === LIMIT
        );
      }),
    );
  }
  t.log(`milliseconds until in force: ${Date.now() - startMs}`);
  const atMs = Date.now();
  await Promise.all(
    Array.from({ length: REQUESTS }, (_, index) => ask(bed, index % 3)),
  );
  const records = await Promise.all(
    ["worker-1", "worker-2", "worker-3", "worker-4"]
      .map((id) => recordOf(bed.bed, id)),
  );
  const running = records.flatMap(({ requests }) => requests)
    .filter(({ startedAtMs }) => startedAtMs > atMs);
  t.true(running.length > 0);
  const most = Math.max(
    ...running.map(({ startedAtMs }) =>
      running.filter((other) =>
        other.startedAtMs <= startedAtMs && other.endedAtMs! > startedAtMs
      ).length
    ),
  );
  t.log(`most at once: ${most} of ${running.length}`);
  t.true(most <= LIMIT);
});
