import test from "ava";
import { runUnderLoad, startDeployment } from "./_faulted_load_test.ts";
import { pause, type Testbed } from "./testbed.ts";

const FAULT_DELAY_MS = 1_000;
/** Longer than an instance's lease. */
const PAUSE_MS = 7_000;

interface Fault {
  readonly name: string;
  readonly durationMs: number;
  readonly injectFault: (bed: Testbed) => Promise<void>;
}

/** Faults during which no guarantee may be violated. */
const FAULTS: readonly Fault[] = [
  {
    name: "an instance is killed",
    durationMs: 3_000,
    injectFault: (bed) => bed.kill(bed.instances[0]!),
  },
  {
    name: "an instance is paused for longer than its lease",
    durationMs: 9_000,
    injectFault: async (bed) => {
      const { child } = bed.instances[0]!.process;
      child.kill("SIGSTOP");
      await pause(PAUSE_MS);
      child.kill("SIGCONT");
    },
  },
  {
    name: "a worker's open connections go silent",
    durationMs: 4_000,
    injectFault: async (bed) => {
      const path = "/control/worker-1";
      await bed.control(bed.workersControl, path, { silent: true });
    },
  },
  {
    name: "a worker fails all requests and tasks",
    durationMs: 4_000,
    injectFault: async (bed) => {
      const path = "/control/worker-1";
      await bed.control(bed.workersControl, path, { failing: true });
    },
  },
];

for (const { name, durationMs, injectFault } of FAULTS) {
  test.serial(`guarantees hold under load: ${name}`, async (t) => {
    const deployment = await startDeployment(t);
    await runUnderLoad(t, deployment, {
      durationMs,
      injectFault: async () => {
        await pause(FAULT_DELAY_MS);
        await injectFault(deployment.testbed);
      },
    });
  });
}
