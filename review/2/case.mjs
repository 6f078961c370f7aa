/**
 * All instances are killed while two workers run some 700 small tasks each, and
 * start again two seconds later. Most of the tasks end in between.
 */
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import {
  configuration,
  runCase,
  startedTwice,
} from "../standins/deployment.mjs";

const JOBS = 14;
const TASKS_PER_JOB = 100;
const DOWN_MS = 2_000;
const CAPACITY = { cpu: 64_000, "mem-mb": 262_144, gpu: 0 };

await runCase(
  fileURLToPath(new URL("record.txt", import.meta.url)),
  async (deployment, trouble) => {
    await deployment.start({
      instances: 3,
      workers: [1, 2].map((number) => ({
        id: `i-${number}`,
        capacity: CAPACITY,
        labels: ["a", `r1-${number}`],
      })),
      config: configuration(1, [{ name: "prints", prefix: "/prints/" }]),
    });
    await sleep(1_000);
    const ids = Array.from(
      { length: JOBS },
      (_, index) => (0xabc0 + index).toString(16).padStart(16, "0"),
    );
    for (const [index, id] of ids.entries()) {
      await deployment.submit(`/prints/${id}`, {
        spec: "work-ms=4000+300",
        steps: [{
          count: TASKS_PER_JOB,
          cpu: 80,
          "mem-mb": 100,
          "est-ms": 4_000,
        }],
      }, index);
      await sleep(100);
    }
    await sleep(1_200);
    const running = deployment.workers.map((worker) => worker.tasks.length);
    deployment.note(`tasks running by worker: ${running.join(", ")}`);
    if (trouble) {
      for (const { child } of deployment.instances) child.kill("SIGKILL");
      deployment.note("all instances killed");
      await sleep(DOWN_MS);
      const ends = deployment.workers.map((worker) => worker.unacknowledged);
      deployment.note(`ends listed by worker: ${ends.join(", ")}`);
      for (const instance of deployment.instances) deployment.restart(instance);
      deployment.note("all instances started");
    }
    await sleep(14_000);
    for (const id of ids) {
      await deployment.call(deployment.instances[0], "GET", `/prints/${id}`);
    }
    return startedTwice(deployment);
  },
);
