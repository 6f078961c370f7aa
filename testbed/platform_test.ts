import test from "ava";
import type { WorkerRecord } from "./checker.ts";
import {
  type Deployment,
  eventually,
  startDeployment,
} from "./_faulted_load_test.ts";
import { call, type Reply } from "./http.ts";
import { pause, type Testbed } from "./testbed.ts";

/** Maximum delay until a change of the list takes effect. */
const LIST_DELAY_MS = 3_000;
const REQUESTS = 60;
/** New limit: the number of tasks of the set's gang. */
const NEW_LIMIT = 6;

function send(
  { testbed: bed, keys }: Deployment,
  index = 0,
): Promise<Reply> {
  return call(bed.instances[index]!.callers, {
    path: "/v1/request/recipe-check/x",
    headers: { authorization: `Bearer ${keys["counter"]}`, "x-work-ms": "5" },
  });
}

async function readWorkerRecord(
  bed: Testbed,
  id: string,
): Promise<WorkerRecord> {
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  return workers.find(({ worker }) => worker === id)!;
}

test.serial("a leaving worker gets no new work", async (t) => {
  const deployment = await startDeployment(t);
  const { listControl } = deployment.testbed;
  for (let i = 0; i < REQUESTS; i++) await send(deployment, i % 3);
  const leaveWorkers = ["worker-1"];
  await deployment.testbed.control(listControl, "/control", { leaveWorkers });
  const changedAtMs = Date.now();
  while (Date.now() < changedAtMs + LIST_DELAY_MS) await send(deployment);
  const atMs = Date.now();
  for (let i = 0; i < REQUESTS; i++) {
    t.is((await send(deployment, i % 3)).status, 200);
  }
  const { requests } = await readWorkerRecord(deployment.testbed, "worker-1");
  t.deepEqual(requests.filter(({ startedAtMs }) => startedAtMs > atMs), []);
});

test.serial("urgent requests succeed while the store is unreachable", async (t) => {
  const deployment = await startDeployment(t);
  const { storeControl } = deployment.testbed;
  await deployment.testbed.control(storeControl, "/control", {
    outage: "refuse",
  });
  const until = Date.now() + 8_000;
  const statuses = new Set<number>();
  for (let count = 0; Date.now() < until; count++) {
    statuses.add((await send(deployment, count % 3)).status);
    await pause(20);
  }
  t.deepEqual([...statuses], [200]);
  const refused = await call(deployment.testbed.instances[0]!.callers, {
    method: "POST",
    path: "/v1/work",
    headers: { authorization: `Bearer ${deployment.keys["billing"]}` },
    body: JSON.stringify({ workload: "billing-run", payload: "" }),
  });
  t.is(refused.headers["zinniapoint-outcome"], "notRun");
  t.like(JSON.parse(refused.body), { type: "storeAway" });
  t.truthy(refused.headers["retry-after"]);
  await deployment.testbed.control(storeControl, "/control", { outage: false });
  t.true(
    await eventually(async () => (await send(deployment)).status === 200),
  );
});

test.serial("a published limit becomes active on every instance", async (t) => {
  const deployment = await startDeployment(t);
  const { text } = deployment;
  await deployment.testbed.publish(
    text.replace("running = 20", `running = ${NEW_LIMIT}`),
  );
  const startMs = Date.now();
  for (const node of deployment.testbed.instances) {
    t.true(
      await eventually(async () => {
        const { teams } = await deployment.testbed.getAsOperator(
          node,
          "/v1/status",
        ) as {
          teams: { team: string; limit: number }[];
        };
        return teams.some(({ team, limit }) =>
          team === "counter" && limit === NEW_LIMIT
        );
      }),
    );
  }
  t.log(`milliseconds until active: ${Date.now() - startMs}`);
  const atMs = Date.now();
  await Promise.all(
    Array.from(
      { length: REQUESTS },
      (_, index) => send(deployment, index % 3),
    ),
  );
  const records = await Promise.all(
    ["worker-1", "worker-2", "worker-3", "worker-4"]
      .map((id) => readWorkerRecord(deployment.testbed, id)),
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
  t.log(`maximum at once: ${most} of ${running.length}`);
  t.true(most <= NEW_LIMIT);
});
