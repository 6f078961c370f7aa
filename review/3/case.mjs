/**
 * A client sends a submission to an instance that stands still, leaves without
 * an answer and cancels the submission at another instance.
 */
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import { CannotRun, configuration, runCase } from "../standins/deployment.mjs";

const SUBMISSIONS = 5;
const FREEZE_MS = 4_000;
/** Time after which the client leaves. */
const PATIENCE_MS = 500;
/** Source: the bounds of the site, `cancel_ms`. */
const CANCEL_MS = 3_000;

await runCase(
  fileURLToPath(new URL("record.txt", import.meta.url)),
  async (deployment, trouble) => {
    await deployment.start({
      instances: 3,
      workers: [1, 2, 3].map((number) => ({
        id: `i-${number}`,
        capacity: { cpu: 64_000, "mem-mb": 262_144, gpu: 0 },
        labels: ["a", `r1-${number}`],
      })),
      config: configuration(1, [{ name: "prints", prefix: "/prints/" }]),
    });
    await sleep(4_000);
    const leader = deployment.leader();
    if (leader === undefined) throw new CannotRun("no leader");
    deployment.note(`${leader.name} leads`);
    const [entry, other] = deployment.instances.filter((one) => one !== leader);
    if (trouble) {
      entry.child.kill("SIGSTOP");
      deployment.note(`${entry.name} stands still`);
    }
    const ids = Array.from(
      { length: SUBMISSIONS },
      (_, index) => (0xca0 + index).toString(16).padStart(16, "0"),
    );
    const canceled = new Map();
    await Promise.all(ids.map(async (id) => {
      await deployment.call(entry, "POST", `/prints/${id}`, {
        spec: "work-ms=8000",
        steps: [{ count: 2, cpu: 1_000, "mem-mb": 500, "est-ms": 8_000 }],
      }, PATIENCE_MS);
      await sleep(100);
      const { status } = await deployment.call(
        other,
        "DELETE",
        `/prints/${id}`,
      );
      if (status === 410 || status >= 200 && status < 300) {
        canceled.set(id, Date.now());
      }
    }));
    await sleep(FREEZE_MS - PATIENCE_MS - 100);
    if (trouble) {
      entry.child.kill("SIGCONT");
      deployment.note(`${entry.name} goes on`);
    }
    await sleep(12_000);
    for (const id of ids) {
      await deployment.call(other, "GET", `/prints/${id}`);
    }
    return deployment.record.flatMap(({ task, run, startedMs, worker }) => {
      const canceledMs = canceled.get(task.split(".")[0]);
      if (canceledMs === undefined) return [];
      if (startedMs <= canceledMs + CANCEL_MS) return [];
      return [
        `UNASKED: ${task} run ${run} on ${worker} started at ` +
        `${deployment.at(startedMs)}; the cancelling was acknowledged at ` +
        deployment.at(canceledMs),
      ];
    });
  },
);
