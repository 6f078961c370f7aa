import test from "ava";
import { Metrics } from "../metrics.ts";
import { silentLog } from "../logger.ts";
import { Harness, testStep } from "./_fixtures_test.ts";
import { Fleet } from "./fleet.ts";

// Guards against logs in which a slow worker looks the same as a long task.
test("the log shows a run's worker speed, expected time and actual time", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const fleet = new Fleet();
  fleet.getOrCreate("w1").timeFactor = 1.67;
  const lines = new Map<string, Readonly<Record<string, unknown>>>();
  const log = {
    ...silentLog,
    info: (event: string, fields = {}) => void lines.set(event, fields),
  };
  const metrics = new Metrics();
  const cell = await harness.open({ fleet, log, metrics });
  await harness.submit(cell, [testStep({ estimateMs: 600 })]);
  await harness.clock.run(300);
  worker.end("00000000000000aa.0.0.0", "done");
  await harness.clock.run(300);
  t.like(lines.get("run.start"), { timeFactor: "1.67", expectedMs: 1_002 });
  const { tookMs } = lines.get("run.end") ?? {};
  t.true(Number(tookMs) >= 300 && Number(tookMs) <= 600, String(tookMs));
  const thirdly = metrics.percentile("urgent_run_ms", 50, { third: "middle" });
  t.true(Number(thirdly) >= 300, String(thirdly));
});
