import test from "ava";
import { Harness, testStep } from "./_fixtures_test.ts";
import { StallableClock } from "./_suspendable_clock_test.ts";

/** Longest time without a pass that may follow a suspension, milliseconds. */
const MAX_PASS_PAUSE_MS = 1_000;
/** Time until the start of a task after the pass that places it, milliseconds. */
const START_MS = 100;

test("a suspension during a pass does not delay the next pass by a multiple of it", async (t) => {
  const clock = new StallableClock();
  const harness = new Harness(clock);
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const tooLarge = testStep({
    amounts: { cpuMillis: 8_000, memoryMib: 100, accelerators: 0 },
  });
  await harness.submit(cell, [tooLarge]);
  clock.stallMs = 5_000;
  await clock.run(100);
  clock.stallMs = 0;
  await harness.submit(cell, [testStep()], "00000000000000b1");
  await clock.run(MAX_PASS_PAUSE_MS + START_MS);
  t.is(worker.running.size, 1);
});
