import test from "ava";
import {
  type Deployment,
  eventually,
  runUnderLoad,
  startDeployment,
} from "./_faulted_load_test.ts";
import { call } from "./http.ts";
import type { Load } from "./load.ts";
import { terminate } from "./processes.ts";
import { pause } from "./testbed.ts";

const FAULT_DELAY_MS = 1_000;
const LONG_WORK_MS = 2_500;
const REQUESTS_PER_INSTANCE = 5;

/** Requests without a response or with an unknown outcome. */
function interruptedRequests(load: Load): unknown[] {
  return load.requests.filter(({ outcome }) =>
    outcome === "noAnswer" || outcome === "unknown"
  );
}

test.serial("a rolling restart interrupts no requests", async (t) => {
  const deployment = await startDeployment(t);
  const exits: (number | null)[] = [];
  const load = await runUnderLoad(t, deployment, {
    durationMs: 15_000,
    injectFault: async () => {
      for (const node of deployment.testbed.instances) {
        const { child } = node.process;
        await terminate(node.process);
        exits.push(child.exitCode);
        deployment.testbed.restart(node);
        await deployment.testbed.waitUntilReady();
      }
    },
  });
  t.deepEqual(exits, [0, 0, 0]);
  t.deepEqual(interruptedRequests(load), []);
});

test.serial("a simultaneous restart of all instances loses no work", async (t) => {
  const deployment = await startDeployment(t);
  await runUnderLoad(t, deployment, {
    durationMs: 4_000,
    injectFault: async () => {
      await pause(FAULT_DELAY_MS);
      const { instances: nodes } = deployment.testbed;
      await Promise.all(nodes.map((node) => deployment.testbed.kill(node)));
      for (const node of nodes) deployment.testbed.restart(node);
      t.true(
        await eventually(() =>
          deployment.testbed.waitUntilReady().then(() => true)
        ),
      );
    },
  });
});

/** Sends long requests to every instance and returns their statuses. */
function sendLongRequests(
  { testbed: bed, keys }: Deployment,
): Promise<number>[] {
  const authorization = `Bearer ${keys["counter"]}`;
  return bed.instances.flatMap(({ callers }) =>
    Array.from({ length: REQUESTS_PER_INSTANCE }, async () => {
      const { status } = await call(callers, {
        path: "/v1/request/receipt-print/x",
        headers: { authorization, "x-work-ms": String(LONG_WORK_MS) },
      });
      return status;
    })
  );
}

interface WorkerRecords {
  readonly workers: readonly { readonly requests: readonly unknown[] }[];
}

test.serial("a shutdown of all instances completes requests in flight", async (t) => {
  const deployment = await startDeployment(t);
  const { instances: nodes } = deployment.testbed;
  const answers = sendLongRequests(deployment);
  const sent = answers.length;
  t.true(
    await eventually(async () => {
      const { workers } = await deployment.testbed
        .workerRecords() as WorkerRecords;
      return workers.flatMap(({ requests }) => requests).length === sent;
    }),
  );
  const exits = nodes.map((node) => terminate(node.process));
  t.deepEqual(await Promise.all(answers), Array(sent).fill(200));
  await Promise.all(exits);
  t.deepEqual(nodes.map(({ process }) => process.child.exitCode), [0, 0, 0]);
});
