import test from "ava";
import type { Clock } from "../clock.ts";
import { silentLog } from "../logger.ts";
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

/** Longest time for which a job may have nothing running beside room, milliseconds; source: the platform's rules. */
const MAX_IDLE_MS = 3_000;

const FIRST = "00000000000000a1";
const SECOND = "00000000000000a2";
const THIRD = "00000000000000a3";

test("work starts soon after a pass in which the process was frozen", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  let frozenMs = 0;
  const clock: Clock = {
    monotonic: () => harness.clock.monotonic() + frozenMs,
    now: () => harness.clock.now(),
    after: (delayMs, action) => harness.clock.after(delayMs, action),
  };
  // A pass logs this line when it places a step that has waited.
  const log: typeof silentLog = {
    ...silentLog,
    info: (event) => {
      if (event === "step.waited") frozenMs += 1_500;
    },
  };
  const cell = await harness.open({ clock, log });
  await harness.submit(cell, [testStep({ tasks: 4 })], FIRST);
  await harness.submit(cell, [testStep()], SECOND);
  await harness.clock.run(300);
  for (const task of [...worker.running.keys()]) worker.end(task, "done");
  await harness.clock.run(100);
  t.is(frozenMs, 1_500);
  t.is(cell.state(SECOND), "running");
  await harness.submit(cell, [testStep()], THIRD);
  await harness.clock.run(MAX_IDLE_MS - 100);
  t.is(cell.state(THIRD), "running");
});
