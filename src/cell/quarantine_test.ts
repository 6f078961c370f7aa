import test from "ava";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";

/** Failed runs after which a worker counts as failing. */
const FAILURES = 6;

test("the only worker of a service is not quarantined, however many others there are", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [testQueue({ attempts: 1 })] };
  const worker = harness.addWorker("w1");
  for (let index = 0; index < 8; index++) {
    harness.addWorker(`p${index}`, { service: "printer" });
  }
  const cell = await harness.open();
  const submit = async (id: string) => {
    await harness.submit(cell, [testStep()], id);
    await harness.clock.run(300);
  };
  for (let failure = 0; failure < FAILURES; failure++) {
    await submit(`0${failure}`);
    const [task] = worker.running.keys();
    if (task !== undefined) worker.end(task, "failed");
    await harness.clock.run(200);
  }
  await submit("0a");
  t.is(cell.state("0a"), "running");
});
