import test from "ava";
import { sleep } from "../clock.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import { SimulatedAdvice } from "./_simulated_advice_test.ts";

const JOB = "00000000000000aa";

/** Advice that takes a third of a ticket's lifetime, as for large gangs. */
const SLOW_QUEUE = testQueue({
  priority: 1,
  objectiveMs: 60_000,
  advice: { baseMs: 570, perWorkerMs: 8.1, ticketMs: 1_500 },
});

function harnessWith(workers: number): Harness {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [SLOW_QUEUE] };
  for (let index = 0; index < workers; index++) harness.addWorker(`w${index}`);
  return harness;
}

test("a gang that lacks one worker asks about the idle one that joined later", async (t) => {
  const harness = harnessWith(14);
  const advice = new SimulatedAdvice(harness.clock, {
    allows: (worker) => worker !== "w0",
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const gang = testStep({ gang: true, tasks: 14, maxPerWorker: 1 });
  await harness.submit(cell, [gang]);
  await harness.clock.run(5_000);
  t.is(cell.state(JOB), "pending");
  harness.addWorker("w14");
  await harness.clock.run(10_000);
  t.is(cell.state(JOB), "running");
  const named = advice.received.filter(({ workers }) =>
    workers.includes("w14")
  );
  t.is(named.length, 1);
});

test("a gang on most of a fleet gets all its tickets through one channel", async (t) => {
  const harness = harnessWith(200);
  const queue = testQueue({
    priority: 1,
    objectiveMs: 60_000,
    advice: { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 },
  });
  harness.set = { ...harness.set, queues: [queue] };
  const advice = new SimulatedAdvice(harness.clock, {
    allows: (worker) => Number(worker.slice(1)) % 5 < 3,
    roundTripMs: 30,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const gang = testStep({ gang: true, tasks: 115, maxPerWorker: 1 });
  await harness.submit(cell, [gang]);
  await harness.clock.run(15_000);
  t.is(cell.state(JOB), "running");
});

test("a step asks again about a worker that has restarted since it was left out", async (t) => {
  const harness = harnessWith(1);
  const worker = harness.workerClient.workers.get("w0")!;
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => worker.processStartMs > 1,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(5_000);
  t.is(advice.received.length, 1);
  worker.restart();
  await harness.clock.run(5_000);
  t.is(cell.state(JOB), "running");
  t.is(advice.received.length, 2);
});

test("a response about a worker's former process is no verdict on its next one", async (t) => {
  const harness = harnessWith(1);
  const worker = harness.workerClient.workers.get("w0")!;
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => harness.clock.monotonic() > 1_500,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(200);
  t.is(advice.received.length, 1);
  worker.restart();
  await harness.clock.run(5_000);
  t.is(cell.state(JOB), "running");
});

test("a gang whose worker restarts starts again with tickets of the workers' current processes", async (t) => {
  const harness = harnessWith(2);
  const queue = testQueue({
    advice: { baseMs: 100, perWorkerMs: 10, ticketMs: 15_000 },
  });
  harness.set = { ...harness.set, queues: [queue] };
  const { workers } = harness.workerClient;
  const [first, second] = ["w0", "w1"].map((id) => workers.get(id)!);
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => true,
    processOf: (worker) => workers.get(worker)!.processStartMs,
  });
  for (const worker of workers.values()) {
    worker.acceptsTicket = (ticket) =>
      ticket === `${JOB}.0.0 ${worker.id} ${worker.processStartMs}`;
  }
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const gang = testStep({ gang: true, tasks: 2, maxPerWorker: 1 });
  await harness.submit(cell, [gang]);
  await harness.clock.run(1_000);
  t.is(cell.state(JOB), "running");
  first!.restart();
  await harness.clock.run(5_000);
  t.deepEqual(first!.starts.map(({ run }) => run), [1, 2]);
  t.deepEqual(second!.starts.map(({ run }) => run), [1, 2]);
  t.deepEqual(advice.received.map(({ workers }) => [...workers].sort()), [
    ["w0", "w1"],
    ["w0"],
  ]);
});

/** Ids of jobs of a team that has reached its limit. */
const LIMITED_JOBS = ["01", "02", "03", "04"];

test("steps at their team's limit leave the channels to others", async (t) => {
  const harness = harnessWith(2);
  const limit = { cpuMillis: 2_000, memoryMib: 0, accelerators: 0 };
  harness.set = {
    ...harness.set,
    queues: [SLOW_QUEUE, testQueue({ name: "plain", priority: 2 })],
    teams: [{ name: "limited", keys: [], weight: 0, limit }],
  };
  const advice = new SimulatedAdvice(harness.clock, { allows: () => true });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const submit = async (id: string, queue: string, team: string) => {
    const steps = [testStep({ tasks: queue === "plain" ? 2 : 1 })];
    const outcome = cell.submit({
      id,
      queue,
      team,
      spec: { payload: "text", steps },
    });
    await harness.clock.run(100);
    t.is((await outcome).type, "accepted");
  };
  await submit("0d", "plain", "limited");
  for (const id of LIMITED_JOBS) await submit(id, "receipts", "limited");
  await submit(JOB, "receipts", "");
  await harness.clock.run(2_000);
  t.is(cell.state(JOB), "running");
  t.deepEqual(advice.received.map(({ step }) => step), [`${JOB}.0.0`]);

  for (const worker of harness.workerClient.workers.values()) {
    for (const task of [...worker.running.keys()]) {
      if (task.startsWith("0d")) worker.end(task, "done");
    }
  }
  await harness.clock.run(3_000);
  const running = LIMITED_JOBS.filter((id) => cell.state(id) === "running");
  t.is(running.length, 2);
});

test("a gang that needs more tickets than one request returns uses several free channels", async (t) => {
  const harness = harnessWith(300);
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => true,
    channels: 5,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const gang = testStep({ gang: true, tasks: 220, maxPerWorker: 1 });
  await harness.submit(cell, [gang]);
  await harness.clock.run(15_000);
  t.is(cell.state(JOB), "running");
});

/** A cell with seven channels, and a team whose limit is one core. */
async function openWithLimitedTeam({ workers }: { readonly workers: number }) {
  const harness = harnessWith(workers);
  const limit = { cpuMillis: 1_000, memoryMib: 0, accelerators: 0 };
  harness.set = {
    ...harness.set,
    teams: [{ name: "limited", keys: [], weight: 0, limit }],
  };
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => true,
    channels: 7,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const submit = (id: string, team: string) => {
    const spec = { payload: "text", steps: [testStep()] };
    return cell.submit({ id, queue: "receipts", team, spec });
  };
  return { harness, cell, submit };
}

test("a team at its limit does not keep the steps of others from any of seven channels", async (t) => {
  const { harness, cell, submit } = await openWithLimitedTeam({ workers: 100 });
  for (let number = 10; number <= 22; number++) {
    void submit(String(number).padStart(16, "0"), "limited");
    await harness.clock.run(100);
  }
  await harness.clock.run(5_000);
  const outcome = submit(JOB, "");
  await harness.clock.run(3_000);
  t.deepEqual(await outcome, { type: "accepted" });
  t.is(cell.state(JOB), "running");
});

test("a step at its team's limit starts without a wait for advice once there is room", async (t) => {
  const { harness, cell, submit } = await openWithLimitedTeam({ workers: 10 });
  for (const id of LIMITED_JOBS.slice(0, 2)) {
    void submit(id, "limited");
    await harness.clock.run(2_000);
  }
  const [first, second] = LIMITED_JOBS;
  t.is(cell.state(second!), "pending");
  for (const worker of harness.workerClient.workers.values()) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await harness.clock.run(300);
  t.is(cell.state(first!), "done");
  t.is(cell.state(second!), "running");
});

test("a request that takes longer than most gets a channel beside a stream of others", async (t) => {
  const harness = harnessWith(100);
  const quick = { baseMs: 5, perWorkerMs: 0.15, ticketMs: 1_500 };
  const queue = testQueue({ objectiveMs: 60_000, advice: quick });
  harness.set = { ...harness.set, queues: [queue] };
  const advice = new SimulatedAdvice(harness.clock, { allows: () => true });
  const { dispatcher } = advice;
  const sendOthers = async () => {
    while (true) {
      const { type } = await dispatcher.send({
        queue: "other",
        step: "other",
        workers: [],
        expectedMs: 9,
        typicalMs: 9,
      });
      if (type === "busy") await sleep(harness.clock, 2);
    }
  };
  const cell = await harness.open({ adviceDispatcher: dispatcher });
  for (let stream = 0; stream < 2; stream++) void sendOthers();
  await harness.submit(cell, [testStep({ tasks: 400 })]);
  await harness.clock.run(5_000, 1);
  t.is(cell.state(JOB), "running");
});
