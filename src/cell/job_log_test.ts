import test from "ava";
import { ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import type { Condition, Write } from "../ports/store.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { testQueue, testStep } from "./_fixtures_test.ts";
import { leaderRecordKey } from "./leader_record.ts";
import { type Job, newJob } from "./job.ts";
import { JobLog } from "./job_log.ts";

/** Leader record of the term of {@linkcode open}. */
const LEADER_RECORD: Write = {
  type: "put",
  key: leaderRecordKey("cell"),
  value: "1",
};

/** A store that responds to a transaction after a delay. */
class TimedStore extends FakeStore {
  /** Configured delay of each response of the fake store, milliseconds. */
  responseMs = 5;
  inFlight = 0;
  maxInFlight = 0;
  /** Each transaction is executed twice; the caller gets the second response. */
  duplicateCalls = false;
  lastCall:
    | {
      readonly conditions: readonly Condition[];
      readonly writes: readonly Write[];
    }
    | undefined;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    super();
    this.#clock = clock;
  }

  override commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ReturnType<FakeStore["commit"]> {
    this.lastCall = { conditions, writes };
    this.inFlight++;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    const wait = sleep(this.#clock, this.responseMs);
    return ResultAsync.fromSafePromise(wait).andThen(() => {
      this.inFlight--;
      if (this.duplicateCalls) void super.commit(conditions, writes);
      return super.commit(conditions, writes);
    });
  }
}

async function open() {
  const clock = new ManualClock();
  const store = new TimedStore(clock);
  void store.commit([], [LEADER_RECORD]);
  await clock.run(10);
  const stepDownReasons: string[] = [];
  const log = new JobLog({
    cell: "cell",
    fence: 1,
    revision: store.revision,
    store,
    clock,
    log: silentLog,
    metrics: new Metrics(),
    stepDown: (reason) => stepDownReasons.push(reason),
    onLeadershipConfirmed: () => {},
    onJobEnded: () => {},
  });
  store.commits = 0;
  return { clock, store, log, stepDownReasons };
}

function jobs(count: number): readonly Job[] {
  return Array.from({ length: count }, (_, index) =>
    newJob({
      id: index.toString(16).padStart(16, "0"),
      queue: "receipts",
      policy: testQueue(),
      team: "",
      spec: { payload: "", steps: [testStep()] },
      acceptedMs: 0,
      owed: true,
    }));
}

function saveAll(log: JobLog, all: readonly Job[]): Promise<readonly string[]> {
  return Promise.all(all.map((job) => log.save(job, { submission: true })));
}

/** Number of jobs that fit into one transaction. */
const JOBS_PER_BATCH = 10;

test("several jobs are written in one transaction", async (t) => {
  const { clock, store, log } = await open();
  const saved = saveAll(log, jobs(JOBS_PER_BATCH));
  await clock.run(100);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  t.is(store.commits, 1);
  log.close();
});

test("a job does not wait for the transactions of other jobs", async (t) => {
  const { clock, store, log } = await open();
  store.responseMs = 250;
  await Promise.all([saveAll(log, jobs(1)), clock.run(400)]);
  const states: string[] = [];
  for (const job of jobs(20)) {
    void log.save(job).then((state) => states.push(state));
    await clock.run(10);
  }
  // The batch delay and the duration of one transaction.
  await clock.run(280);
  t.is(states.filter((state) => state === "saved").length, 20);
  log.close();
});

test("a job has at most one transaction in flight", async (t) => {
  const { clock, store, log } = await open();
  store.responseMs = 50;
  const [job] = jobs(1);
  const first = log.save(job!, { submission: true });
  await clock.run(30);
  const second = log.save(job!);
  await clock.run(30);
  t.is(store.inFlight, 1);
  await clock.run(200);
  t.deepEqual([await first, await second], ["saved", "saved"]);
  t.is(store.maxInFlight, 1);
  log.close();
});

test("a batch whose response is lost is written once", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  store.responsesToLose = 1;
  const all = jobs(JOBS_PER_BATCH);
  for (const job of all) job.hasStarted = true;
  const saved = saveAll(log, all);
  await clock.run(500);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  for (const job of all) job.finishedOccurrences++;
  const again = saveAll(log, all);
  await clock.run(500);
  t.deepEqual([...new Set(await again)], ["saved"]);
  t.deepEqual(stepDownReasons, []);
  log.close();
});

test("a transaction that the store executed twice counts as written", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  const [job] = jobs(1);
  job!.hasStarted = true;
  store.duplicateCalls = true;
  const saved = log.save(job!, { submission: true });
  await clock.run(100);
  t.is(await Promise.race([saved, "waits"]), "saved");
  t.deepEqual(stepDownReasons, []);
  log.close();
});

test("a leader steps down when another instance has written the leader record", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  void store.commit([], [LEADER_RECORD]);
  await clock.run(10);
  const saved = saveAll(log, jobs(JOBS_PER_BATCH));
  await clock.run(200);
  t.deepEqual([...new Set(await saved)], ["deposed"]);
  t.is(stepDownReasons.length, 1);
  log.close();
});

test("a duplicate transaction that is executed late has no effect", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  job!.hasStarted = true;
  await Promise.all([log.save(job!, { submission: true }), clock.run(100)]);
  const { conditions, writes } = store.lastCall!;
  job!.canceled = true;
  await Promise.all([log.save(job!), clock.run(100)]);
  const after = store.entries.get(`progress/${job!.id}`)?.value;
  void store.commit(conditions, writes);
  await clock.run(100);
  t.is(store.entries.get(`progress/${job!.id}`)?.value, after);
  log.close();
});

test("a job that can't be written does not delay other jobs", async (t) => {
  const { clock, store, log } = await open();
  const [bad, good] = jobs(2);
  store.stuckKeys.add(`progress/${bad!.id}`);
  void log.save(bad!, { submission: true });
  const saved = log.save(good!, { submission: true });
  await clock.run(400);
  t.is(await Promise.race([saved, "waits"]), "saved");
  t.true(log.withdraw(bad!));
  log.close();
});

test("a submission that may have been stored is not withdrawn", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  const first = log.save(job!, { submission: true });
  await clock.run(21);
  t.is(store.inFlight, 1);
  const second = log.save(job!);
  t.false(log.withdraw(job!));
  await clock.run(100);
  t.deepEqual([await first, await second], ["saved", "saved"]);
  log.close();
});

test("no submissions are sent to a store that has stopped responding", async (t) => {
  const { clock, store, log } = await open();
  const [first, second, third] = jobs(3);
  store.responseMs = 60_000;
  void log.save(first!, { submission: true });
  await clock.run(150);
  void log.save(second!, { submission: true });
  void log.save(third!, { submission: true });
  await clock.run(500);
  t.true(log.withdraw(second!));
  t.true(log.withdraw(third!));
  t.is(store.inFlight, 2, "the first transaction and the probe");
  log.close();
});

test("one missing response does not delay other jobs", async (t) => {
  const { clock, store, log } = await open();
  const [first, second] = jobs(2);
  store.responseMs = 60_000;
  void log.save(first!, { submission: true });
  await clock.run(150);
  store.responseMs = 5;
  const saved = log.save(second!, { submission: true });
  await clock.run(100);
  t.is(await Promise.race([saved, "waits"]), "saved");
  log.close();
});

test("consistently slow responses do not delay other jobs", async (t) => {
  const { clock, store, log } = await open();
  store.responseMs = 250;
  await Promise.all([saveAll(log, jobs(1)), clock.run(400)]);
  const [first, second] = jobs(2);
  const saved = [log.save(first!), Promise.resolve("")];
  await clock.run(150);
  saved[1] = log.save(second!);
  await clock.run(300);
  t.is(await Promise.race([saved[1], "waits"]), "saved");
  log.close();
});

test("a submission shares its transaction with its first starts when the store is slow", async (t) => {
  const { clock, store, log } = await open();
  store.responseMs = 340;
  const [job] = jobs(1);
  const accepted = log.save(job!, { submission: true, withinMs: 55 });
  await clock.run(40);
  t.is(store.inFlight, 0);
  const started = log.save(job!);
  await clock.run(30);
  t.is(store.inFlight, 1);
  await clock.run(340);
  t.deepEqual(await Promise.all([accepted, started]), ["saved", "saved"]);
  t.is(store.commits, 1);
});

test("a submission that is not placed in time is written alone", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  const accepted = log.save(job!, { submission: true, withinMs: 55 });
  await clock.run(100);
  t.is(await accepted, "saved");
  t.is(store.commits, 1);
});

// Guards against starts that stay unwritten, and so unsent, while completions of
// the same job keep coming.
test("a write that is due is not delayed by later changes of its job", async (t) => {
  const { clock, log } = await open();
  const [job] = jobs(1);
  const saved: string[] = [];
  void log.save(job!).then((result) => saved.push(result));
  for (let change = 0; change < 10; change++) {
    await clock.run(10);
    void log.save(job!, { withinMs: 100 });
  }
  t.deepEqual(saved, ["saved"]);
});

test("a write that may wait is not delayed by later changes of its job", async (t) => {
  const { clock, log } = await open();
  const [job] = jobs(1);
  const saved: string[] = [];
  void log.save(job!, { withinMs: 100 }).then((result) => saved.push(result));
  for (let change = 0; change < 20; change++) {
    await clock.run(10);
    void log.save(job!, { withinMs: 100 });
  }
  t.deepEqual(saved, ["saved"]);
});

test("waiting for writes covers pending changes but not later ones", async (t) => {
  const { clock, log } = await open();
  const [first, ...later] = jobs(40);
  void log.save(first!);
  let drained = false;
  void log.waitForWrites(10_000).then(() => drained = true);
  for (const job of later) {
    void log.save(job);
    await clock.run(2, 2);
  }
  t.true(drained);
});
