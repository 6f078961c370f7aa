import test from "ava";
import { openBed, underLoad } from "./_faulted_load_test.ts";
import { pause, type Testbed } from "./testbed.ts";

const STRIKE_MS = 1_000;
/** Longer than the lease of an instance. */
const PAUSE_MS = 7_000;

interface Fault {
  readonly name: string;
  readonly durationMs: number;
  readonly strike: (bed: Testbed) => Promise<void>;
}

/** Faults after which everything that was promised must still come true. */
const faults: readonly Fault[] = [
  {
    name: "an instance is killed",
    durationMs: 3_000,
    strike: (bed) => bed.kill(bed.nodes[0]!),
  },
  {
    name: "an instance is paused for longer than its lease",
    durationMs: 9_000,
    strike: async (bed) => {
      const { child } = bed.nodes[0]!.process;
      child.kill("SIGSTOP");
      await pause(PAUSE_MS);
      child.kill("SIGCONT");
    },
  },
  {
    name: "a worker's open connections go silent",
    durationMs: 4_000,
    strike: async (bed) => {
      const path = "/control/worker-1";
      await bed.control(bed.workersControl, path, { silent: true });
    },
  },
  {
    name: "a worker fails everything",
    durationMs: 4_000,
    strike: async (bed) => {
      const path = "/control/worker-1";
      await bed.control(bed.workersControl, path, { failing: true });
    },
  },
];

for (const { name, durationMs, strike } of faults) {
  test.serial(`what was promised holds: ${name}`, async (t) => {
    const bed = await openBed(t);
    await underLoad(t, bed, {
      durationMs,
      strike: async () => {
        await pause(STRIKE_MS);
        await strike(bed.bed);
      },
    });
  });
}
