import test from "ava";
import { ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import type { Condition, Write } from "../ports/store.ts";
import { FakeStore, testQueue, testStep } from "./_fixtures_test.ts";
import { type Job, newJob } from "./job.ts";
import { JobLog } from "./job_log.ts";
import { laneKey, LANES } from "./lane_record.ts";

/** A store that takes its time for each transaction. */
class TimedStore extends FakeStore {
  answerMs = 5;
  underWay = 0;
  most = 0;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    super();
    this.#clock = clock;
  }

  override commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ReturnType<FakeStore["commit"]> {
    this.underWay++;
    this.most = Math.max(this.most, this.underWay);
    const wait = sleep(this.#clock, this.answerMs);
    return ResultAsync.fromSafePromise(wait).andThen(() => {
      this.underWay--;
      return super.commit(conditions, writes);
    });
  }
}

async function open() {
  const clock = new ManualClock();
  const store = new TimedStore(clock);
  const value = JSON.stringify({ fence: 1, sequence: 0 });
  const lanes = Array.from({ length: LANES }, (_, index): Write => ({
    type: "put",
    key: laneKey("cell", index),
    value,
  }));
  void store.commit([], lanes);
  await clock.run(10);
  const deposed: string[] = [];
  const log = new JobLog({
    cell: "cell",
    fence: 1,
    revision: store.revision,
    store,
    clock,
    log: silentLog,
    metrics: new Metrics(),
    onDeposed: (why) => deposed.push(why),
    onConfirmed: () => {},
    onEnded: () => {},
  });
  store.commits = 0;
  return { clock, store, log, deposed };
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

test("lanes share a transaction while the store is quick", async (t) => {
  const { clock, store, log } = await open();
  const saved = saveAll(log, jobs(LANES));
  await clock.run(100);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  t.is(store.commits, 1);
  log.close();
});

test("a slow store has a transaction of each lane under way", async (t) => {
  const { clock, store, log } = await open();
  store.answerMs = 250;
  const saved = saveAll(log, jobs(200));
  await clock.run(700);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  t.true(store.most >= LANES - 1, String(store.most));
  log.close();
});

test("a shared transaction whose answer is lost is written once", async (t) => {
  const { clock, store, log, deposed } = await open();
  store.loseAnswers = 1;
  const saved = saveAll(log, jobs(LANES));
  await clock.run(500);
  t.deepEqual([...new Set(await saved)], ["saved"]);
  const again = saveAll(log, jobs(LANES));
  await clock.run(500);
  t.deepEqual([...new Set(await again)], ["saved"]);
  t.deepEqual(deposed, []);
  log.close();
});

test("a lane that another holder has written deposes this one", async (t) => {
  const { clock, store, log, deposed } = await open();
  const value = JSON.stringify({ fence: 2, sequence: 0 });
  void store.commit([], [{ type: "put", key: laneKey("cell", 3), value }]);
  await clock.run(10);
  const saved = saveAll(log, jobs(LANES));
  await clock.run(200);
  t.deepEqual([...new Set(await saved)], ["deposed"]);
  t.is(deposed.length, 1);
  log.close();
});

test("a submission that a transaction may have carried is not taken back", async (t) => {
  const { clock, store, log } = await open();
  const [job] = jobs(1);
  const first = log.save(job!, { submission: true });
  await clock.run(21);
  t.is(store.underWay, 1);
  const second = log.save(job!);
  t.false(log.withdraw(job!));
  await clock.run(100);
  t.deepEqual([await first, await second], ["saved", "saved"]);
  log.close();
});

test("a store that has fallen silent gets no further submissions", async (t) => {
  const { clock, store, log } = await open();
  const [first, second, third] = jobs(3);
  store.answerMs = 60_000;
  void log.save(first!, { submission: true });
  await clock.run(150);
  void log.save(second!, { submission: true });
  void log.save(third!, { submission: true });
  await clock.run(500);
  t.true(log.withdraw(second!));
  t.true(log.withdraw(third!));
  t.is(store.underWay, 2, "the first one and an empty one");
  log.close();
});

test("one answer that does not come holds nobody else up", async (t) => {
  const { clock, store, log } = await open();
  const [first, second] = jobs(2);
  store.answerMs = 60_000;
  void log.save(first!, { submission: true });
  await clock.run(150);
  store.answerMs = 5;
  const saved = log.save(second!, { submission: true });
  await clock.run(100);
  t.is(await Promise.race([saved, "waits"]), "saved");
  log.close();
});

test("answers that are all slow hold nobody up", async (t) => {
  const { clock, store, log } = await open();
  store.answerMs = 250;
  await Promise.all([saveAll(log, jobs(1)), clock.run(400)]);
  const [first, second] = jobs(2);
  const saved = [log.save(first!), Promise.resolve("")];
  await clock.run(150);
  saved[1] = log.save(second!);
  await clock.run(300);
  t.is(await Promise.race([saved[1], "waits"]), "saved");
  log.close();
});
