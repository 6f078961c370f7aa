import test from "ava";
import { type Fields, silentLog } from "../logger.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { Cell } from "./cell.ts";
import type { CellContext } from "./context.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { Fleet } from "./fleet.ts";
import { LongWaits } from "./long_waits.ts";
import type { Advice, Queue, StepSpec, Team } from "./types.ts";

const JOB = "00000000000000aa";
const OTHER = "00000000000000bb";
const TASK = `${JOB}.0.0.0`;
const ADVICE = { baseMs: 10, perWorkerMs: 0, ticketMs: 1_500 };
const FOUR_CORES = { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 };
const TWO_CORES = { ...FOUR_CORES, cpuMillis: 2_000 };

/** A harness that keeps the fields of the lines of two events. */
class LoggingHarness extends Harness {
  readonly waits: Fields[] = [];
  readonly loads: Fields[] = [];

  constructor(
    { queue = {}, teams = [] }: {
      readonly queue?: Partial<Queue>;
      readonly teams?: readonly Team[];
    } = {},
  ) {
    super();
    this.set = { ...this.set, queues: [testQueue(queue)], teams };
    this.log = {
      ...silentLog,
      info: (event, fields = {}) => {
        if (event === "step.waiting") this.waits.push(fields);
        if (event === "cell.load") this.loads.push(fields);
      },
    };
  }

  gauge(name: string): number {
    const line = this.metrics.render().split("\n")
      .find((text) => text.startsWith(`${name} `));
    return Number(line?.split(" ")[1]);
  }
}

function dispatcherOf(
  harness: Harness,
  answer: (workers: readonly string[]) => Promise<Advice>,
): AdviceDispatcher {
  return new AdviceDispatcher(
    (_instance, { workers }) => answer(workers),
    () => ["self"],
    { clock: harness.clock, metrics: harness.metrics },
  );
}

function advised(good: readonly string[]): Promise<Advice> {
  const tickets = new Map(good.map((worker) => [worker, `t-${worker}`]));
  return Promise.resolve({ type: "advised", tickets });
}

/** Submits a step of a team. */
async function submitAs(
  harness: Harness,
  cell: Cell,
  { id = JOB, team, step }: {
    readonly id?: string;
    readonly team: string;
    readonly step: StepSpec;
  },
): Promise<void> {
  const spec = { payload: "", steps: [step] };
  const outcome = cell.submit({ id, queue: "receipts", team, spec });
  await harness.clock.run(100);
  await outcome;
}

test("a step that waits for room is logged at doubling ages", async (t) => {
  const harness = new LoggingHarness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const other = testStep({ amounts: FOUR_CORES, longRunning: true });
  await harness.submit(cell, [other], OTHER);
  await harness.submit(cell, [testStep({ tasks: 2, amounts: FOUR_CORES })]);
  await harness.clock.run(20_000);
  t.deepEqual(
    harness.waits.map(({ waitedMs }) => Math.round(Number(waitedMs) / 1_000)),
    [2, 4, 8, 16],
  );
  const [first] = harness.waits;
  t.like(first, {
    job: JOB,
    step: 0,
    queue: "receipts",
    team: "",
    fence: 1,
    reason: "noRoom",
    despiteRoom: false,
    tasks: 2,
    fitWorkers: 0,
    avoidedWorkers: 0,
    usedShare: "1.00",
    teamTasks: undefined,
    goodWorkers: undefined,
  });
  t.true(Number(first?.["reasonMs"]) >= 2_000);
  t.true(Number(first?.["passAgeMs"]) <= 100);
  void cell.cancel(OTHER);
  await harness.clock.run(5_000);
  t.is(worker.running.size, 1);
  t.is(harness.waits.length, 4);
  t.is(harness.gauge("longest_step_wait_ms"), 0);
});

test("the longest wait and its job are in the load and in the metrics", async (t) => {
  const harness = new LoggingHarness();
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(1_500);
  await harness.submit(cell, [testStep()], OTHER);
  await harness.clock.run(6_000);
  const load = harness.loads.at(-1);
  t.is(load?.["longestWaitJob"], JOB);
  t.true(Number(load?.["longestWaitMs"]) >= 5_000);
  t.true(harness.gauge("longest_step_wait_ms") >= 5_000);
  t.is(harness.gauge("steps_waiting_despite_room"), 0);
  cell.close();
  t.is(harness.gauge("longest_step_wait_ms"), 0);
});

test("a wait has the age of the team's limit that causes it", async (t) => {
  const team: Team = { name: "team", keys: [], weight: 0, limit: FOUR_CORES };
  const harness = new LoggingHarness({ teams: [team] });
  for (const id of ["w1", "w2", "w3", "w4"]) harness.addWorker(id);
  const cell = await harness.open();
  const step = testStep({ amounts: { ...FOUR_CORES, memoryMib: 0 } });
  await submitAs(harness, cell, { id: OTHER, team: "team", step });
  await submitAs(harness, cell, { team: "team", step });
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    job: JOB,
    team: "team",
    reason: "teamLimit",
    despiteRoom: false,
    fitWorkers: 3,
    teamTasks: 0,
    usedShare: "0.25",
  });
});

test("a step whose team keeps room for urgent steps waits for limitHeadroom", async (t) => {
  const limit = { cpuMillis: 8_000, memoryMib: 0, accelerators: 0 };
  const harness = new LoggingHarness({
    teams: [{ name: "team", keys: [], weight: 0, limit }],
  });
  const batchQueue = testQueue({ name: "batch", priority: 2 });
  harness.set = { ...harness.set, queues: [testQueue(), batchQueue] };
  const workers = ["w1", "w2", "w3", "w4"].map((id) => harness.addWorker(id));
  const cell = await harness.open();
  const urgent = testStep({ tasks: 3 });
  await submitAs(harness, cell, { id: OTHER, team: "team", step: urgent });
  await harness.clock.run(300);
  for (const worker of workers) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await harness.clock.run(100);
  const ids = ["00000000000000b1", "00000000000000b2"];
  for (const id of ids) {
    const spec = { payload: "", steps: [testStep({ tasks: 12 })] };
    void cell.submit({ id, queue: "batch", team: "team", spec });
    await harness.clock.run(100);
  }
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    job: ids[1],
    queue: "batch",
    reason: "limitHeadroom",
    despiteRoom: false,
    fitWorkers: 3,
    teamTasks: 3,
  });
});

test("a step whose advice requests fail waits for advice although there is room", async (t) => {
  const harness = new LoggingHarness({ queue: { advice: ADVICE } });
  for (const id of ["w1", "w2", "w3"]) harness.addWorker(id);
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    reason: "advice",
    despiteRoom: true,
    fitWorkers: 3,
    askedWorkers: 0,
    goodWorkers: 0,
    usableTickets: 0,
    adviceInFlight: 0,
    freeChannels: 0,
  });
  t.is(harness.gauge("steps_waiting_despite_room"), 1);
  t.is(harness.loads.at(-1)?.["waitsDespiteRoom"], 1);
});

test("a step that may run on no worker with room waits for advice on others", async (t) => {
  const harness = new LoggingHarness({ queue: { advice: ADVICE } });
  for (const id of ["w1", "w2", "w3"]) harness.addWorker(id);
  const adviceDispatcher = dispatcherOf(harness, () => advised([]));
  const cell = await harness.open({ adviceDispatcher });
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    reason: "noAdvice",
    despiteRoom: false,
    fitWorkers: 3,
    askedWorkers: 3,
    goodWorkers: 0,
    verdicts: 3,
    freeChannels: 3,
  });
});

test("a gang with too few allowed workers is incomplete", async (t) => {
  const advice = { ...ADVICE, ticketMs: 60_000 };
  const harness = new LoggingHarness({ queue: { advice } });
  for (const id of ["w1", "w2", "w3"]) harness.addWorker(id);
  const adviceDispatcher = dispatcherOf(harness, () => advised(["w1"]));
  const cell = await harness.open({ adviceDispatcher });
  const step = testStep({ gang: true, tasks: 6 });
  await harness.submit(cell, [step]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    reason: "gangIncomplete",
    despiteRoom: false,
    tasks: 6,
    fitWorkers: 3,
    goodWorkers: 1,
    usableTickets: 1,
  });
});

test("a step that no pass looks at waits for its turn", async (t) => {
  const harness = new LoggingHarness();
  for (const id of ["w1", "w2"]) harness.addWorker(id);
  const cell = await harness.open();
  await cell.quiesce(0);
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  const [wait] = harness.waits;
  t.like(wait, { reason: "turn", despiteRoom: true, fitWorkers: 2 });
  t.true(Number(wait?.["passAgeMs"]) >= 2_000);
  cell.resume();
  await harness.clock.run(3_000);
  t.is(harness.waits.length, 1);
});

test("a start whose record is not written waits for the store", async (t) => {
  const harness = new LoggingHarness();
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(1_500);
  harness.store.stuckKeys.add(`progress/${JOB}`);
  for (const id of ["w1", "w2"]) harness.addWorker(id);
  await harness.clock.run(6_000);
  const wait = harness.waits.findLast(({ reason }) => reason === "store");
  t.like(wait, { job: JOB, tasks: 0, storeTasks: 1, despiteRoom: true });
  t.true(Number(wait?.["reasonMs"]) < Number(wait?.["waitedMs"]));
});

test("a start request without an answer is waited for", async (t) => {
  const harness = new LoggingHarness();
  harness.addWorker("w1");
  harness.workerClient.start = () => new Promise(() => {});
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], { reason: "start", tasks: 0, startTasks: 1 });
});

test("a gang waits until its members are stopped", async (t) => {
  const harness = new LoggingHarness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 3, gang: true })]);
  await harness.clock.run(300);
  worker.slowToStop = true;
  worker.end(TASK, "failed");
  await harness.clock.run(4_000);
  t.like(harness.waits[0], { reason: "stop", tasks: 1, stopTasks: 2 });
});

test("a run that the new leader has not seen waits for a report", async (t) => {
  const harness = new LoggingHarness();
  const worker = harness.addWorker("w1");
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  await harness.clock.run(300);
  t.is(worker.running.size, 1);
  first.close();
  worker.silent = true;
  await harness.open();
  await harness.clock.run(3_500);
  t.like(harness.waits[0], { reason: "report", tasks: 0, reportTasks: 1 });
});

test("a run on a worker that falls silent waits for a report", async (t) => {
  const harness = new LoggingHarness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(300);
  worker.silent = true;
  await harness.clock.run(4_000);
  t.like(harness.waits[0], { reason: "report", reportTasks: 1 });
});

test("a step of which a task runs does not wait", async (t) => {
  const harness = new LoggingHarness();
  harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 10 })]);
  await harness.clock.run(5_000);
  t.deepEqual(harness.waits, []);
});

test("a step waits while one of its long-running tasks does not run", async (t) => {
  const harness = new LoggingHarness();
  harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 5, longRunning: true })]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], { reason: "noRoom", tasks: 1 });
});

test("a worker that the leader avoids is counted separately", async (t) => {
  const harness = new LoggingHarness();
  for (const id of ["w1", "w2"]) {
    const worker = harness.addWorker(id);
    worker.start = () => ({ type: "rejected", reason: "unhealthy" });
  }
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    reason: "noRoom",
    despiteRoom: true,
    fitWorkers: 0,
    avoidedWorkers: 2,
  });
});

test("steps that do not count as waiting despite room", async (t) => {
  const harness = new LoggingHarness();
  harness.addWorker("w1");
  const cell = await harness.open();
  await cell.quiesce(0);
  await harness.submit(cell, [testStep({ amounts: TWO_CORES })]);
  await harness.submit(cell, [testStep({ requiredLabel: "none" })], OTHER);
  const gang = testStep({ gang: true, tasks: 3 });
  await harness.submit(cell, [gang], "00000000000000cc");
  const small = testStep({ gang: true, tasks: 2 });
  await harness.submit(cell, [small], "00000000000000dd");
  await harness.clock.run(4_000);
  t.deepEqual(
    harness.waits.map(({ job, despiteRoom }) => [job, despiteRoom]),
    [
      [JOB, true],
      [OTHER, false],
      ["00000000000000cc", false],
      ["00000000000000dd", true],
    ],
  );
});

test("a step does not wait despite room while half of the service is in use", async (t) => {
  const harness = new LoggingHarness();
  harness.addWorker("w1");
  const cell = await harness.open();
  const other = testStep({ amounts: TWO_CORES, longRunning: true });
  await harness.submit(cell, [other], OTHER);
  await harness.clock.run(300);
  await cell.quiesce(0);
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(3_500);
  t.like(harness.waits[0], {
    job: JOB,
    fitWorkers: 1,
    usedShare: "0.50",
    despiteRoom: false,
  });
});

test("a sweep logs the oldest waits and counts the others", async (t) => {
  const harness = new LoggingHarness();
  const cell = await harness.open();
  const ids = Array.from(
    { length: 12 },
    (_, index) => index.toString(16).padStart(16, "0"),
  );
  for (const id of ids) await harness.submit(cell, [testStep()], id);
  await harness.clock.run(8_000);
  const logged = harness.waits.map(({ job }) => job);
  t.deepEqual(new Set(logged), new Set(ids));
  t.true(logged.indexOf(ids[0]) < logged.indexOf(ids[11]));
  t.true(
    harness.loads.some(({ waitsUnlogged }) => Number(waitsUnlogged) > 0),
  );
});

/** Waits of a leader whose steps are given, in no backlog. */
function waitsOf(
  harness: LoggingHarness,
  steps: readonly ReturnType<typeof stepOf>[],
  fleet = new Fleet(),
): LongWaits {
  for (const { job } of steps) job.stored = true;
  const context = {
    fence: 1,
    clock: harness.clock,
    log: harness.log,
    metrics: harness.metrics,
    fleet,
    jobs: new Map(steps.map(({ job }) => [job.id, job])),
    backlog: new Set(),
    set: () => harness.set,
  } as unknown as CellContext;
  const dispatcher = { freeSlotsFor: () => 0 };
  return new LongWaits(context, { dispatcher, passAgeMs: () => 0 });
}

test("a step that is in no backlog and has no run is missing", (t) => {
  const harness = new LoggingHarness();
  const step = stepOf({ tasks: 2 });
  const fleet = new Fleet();
  for (const id of ["w1", "w2"]) openWorker(fleet, id);
  const waits = waitsOf(harness, [step], fleet);
  step.tasks[0]!.phase = "assigned";
  step.tasks[0]!.worker = "w1";
  for (let second = 0; second < 4; second++) {
    waits.tick();
    harness.clock.advance(1_000);
  }
  t.like(harness.waits[0], {
    reason: "missing",
    tasks: 1,
    missingTasks: 1,
    despiteRoom: true,
  });
});

test("a step whose short runs no sweep sees does not wait for long", (t) => {
  const harness = new LoggingHarness();
  const step = stepOf({ tasks: 2 });
  const waits = waitsOf(harness, [step]);
  for (let second = 0; second < 6; second++) {
    waits.tick();
    harness.clock.advance(1_000);
    t.is(waits.oldest?.waitedMs, 1_000);
    step.tasks[1]!.lastCompletedRun++;
  }
  t.deepEqual(harness.waits, []);
});

test("the waits of a job that is gone are forgotten", (t) => {
  const harness = new LoggingHarness();
  const step = stepOf({});
  const waits = waitsOf(harness, [step]);
  waits.tick();
  harness.clock.advance(1_000);
  t.is(waits.oldest?.job, step.job.id);
  step.job.canceled = true;
  waits.tick();
  t.is(waits.oldest, undefined);
});

test("a sweep over many tasks is spread over several ticks", (t) => {
  const harness = new LoggingHarness();
  const steps = Array.from(
    { length: 4 },
    (_, index) => stepOf({ tasks: 1_000 }, { id: String(index) }),
  );
  const waits = waitsOf(harness, steps);
  for (let ticks = 0; ticks < 25; ticks++) {
    waits.tick();
    harness.clock.advance(100);
  }
  const [first] = harness.waits;
  t.deepEqual(
    harness.waits.map(({ job, waitedMs }) => [job, waitedMs]),
    ["0", "1", "2", "3"].map((job, index) => [
      job,
      Number(first?.["waitedMs"]) - 100 * index,
    ]),
  );
});
