import test from "ava";
import { ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import type { Condition, Write } from "../ports/store.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { testQueue, testStep } from "./_fixtures_test.ts";
import { recordKey } from "./cell_record.ts";
import { type Job, newJob } from "./job.ts";
import { JobLog } from "./job_log.ts";

/** The record of the hold of {@linkcode open}. */
const LEADER_RECORD: Write = {
  type: "put",
  key: recordKey("cell"),
  value: "1",
};

/** A store that takes its time for each transaction. */
class TimedStore extends FakeStore {
  responseMs = 5;
  inFlight = 0;
  maxInFlight = 0;
  /** Each call is carried out twice, and the second answer is given. */
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

/** Jobs that share a transaction. */
const JOBS_PER_BATCH = 10;

test("jobs share a transaction", async (t) => {
  const { clock, store, log } = await open();
  const saved = saveAll(log, jobs(JOBS_PER_BATCH));
  await clock.run(100);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  t.is(store.commits, 1);
  log.close();
});

test("a job does not wait for the transactions of others", async (t) => {
  const { clock, store, log } = await open();
  store.responseMs = 250;
  await Promise.all([saveAll(log, jobs(1)), clock.run(400)]);
  const states: string[] = [];
  for (const job of jobs(20)) {
    void log.save(job).then((state) => states.push(state));
    await clock.run(10);
  }
  // What gathering and one transaction take.
  await clock.run(280);
  t.is(states.filter((state) => state === "saved").length, 20);
  log.close();
});

test("a job has one transaction under way at a time", async (t) => {
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

test("a shared transaction whose answer is lost is written once", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  store.loseAnswers = 1;
  const all = jobs(JOBS_PER_BATCH);
  for (const job of all) job.begun = true;
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

test("a transaction that was carried out before a detour is written", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  const [job] = jobs(1);
  job!.begun = true;
  store.duplicateCalls = true;
  const saved = log.save(job!, { submission: true });
  await clock.run(100);
  t.is(await Promise.race([saved, "waits"]), "saved");
  t.deepEqual(stepDownReasons, []);
  log.close();
});

test("a cell that another holder has taken deposes this one", async (t) => {
  const { clock, store, log, stepDownReasons } = await open();
  void store.commit([], [LEADER_RECORD]);
  await clock.run(10);
  const saved = saveAll(log, jobs(JOBS_PER_BATCH));
  await clock.run(200);
  t.deepEqual([...new Set(await saved)], ["deposed"]);
  t.is(stepDownReasons.length, 1);
  log.close();
});

test("a copy that is carried out late has no effect", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  job!.begun = true;
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

test("a job that cannot be written holds no other up", async (t) => {
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

test("a submission that a transaction may have carried is not taken back", async (t) => {
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

test("a store that has fallen silent gets no further submissions", async (t) => {
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
  t.is(store.inFlight, 2, "the first one and an empty one");
  log.close();
});

test("one answer that does not come holds nobody else up", async (t) => {
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

test("answers that are all slow hold nobody up", async (t) => {
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

test("a submission under a slow store shares its transaction with its first starts", async (t) => {
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

test("a submission that finds no place is written all the same", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  const accepted = log.save(job!, { submission: true, withinMs: 55 });
  await clock.run(100);
  t.is(await accepted, "saved");
  t.is(store.commits, 1);
});

test("a drain waits for what waits now, not for what comes later", async (t) => {
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
