import test from "ava";
import { SimulatedRuns } from "../_simulated_runs_test.ts";
import type { FleetWorker } from "../fleet.ts";

/** Time factors of the terciles of an uneven deployment. */
const TERCILE_FACTORS = [1.6, 1, 0.6] as const;

/** A deployment of 245 workers, a third of them slow and a third fast. */
function unevenRuns(seed: number): SimulatedRuns {
  const played = new SimulatedRuns({ workers: 245, seed });
  for (const [index, worker] of played.workers.entries()) {
    played.timeFactors.set(
      worker.id,
      TERCILE_FACTORS[index % TERCILE_FACTORS.length]!,
    );
  }
  played.begin();
  return played;
}

/** Whether the learned factor is nearer to the true one than to the others. */
function isDistinguished(played: SimulatedRuns, worker: FleetWorker): boolean {
  const distance = (factor: number) =>
    Math.abs(Math.log(factor / worker.timeFactor));
  const [nearest] = [...TERCILE_FACTORS].sort((a, b) =>
    distance(a) - distance(b)
  );
  return nearest === played.timeFactors.get(worker.id);
}

for (const seed of [1, 2, 3]) {
  test(`three speeds are distinguished in ten runs although single runs last seven times as long: seed=${seed}`, (t) => {
    const played = unevenRuns(seed);
    const slow = played.workers.filter(({ id }) =>
      played.timeFactors.get(id) === TERCILE_FACTORS[0]
    );
    const slowRuns = () =>
      slow.reduce((sum, { id }) => sum + played.completedRuns.get(id)!, 0);
    while (slowRuns() < 10 * slow.length) played.clock.advance(500);
    const distinguished = played.workers.filter((one) =>
      isDistinguished(played, one)
    );
    t.true(
      distinguished.length > 0.88 * played.workers.length,
      String(distinguished.length),
    );
    for (const factor of TERCILE_FACTORS) {
      const learned = played.workers
        .filter(({ id }) => played.timeFactors.get(id) === factor)
        .map(({ timeFactor }) => timeFactor);
      const mean = learned.reduce((a, b) => a + b) / learned.length;
      t.true(Math.abs(mean / factor - 1) < 0.15, `${factor}: ${mean}`);
    }
  });
}

test("even workers keep a factor of exactly 1", (t) => {
  const played = new SimulatedRuns({ workers: 245, slots: 2 });
  played.begin();
  for (let second = 0; second < 120; second++) {
    played.clock.advance(1_000);
    const other = played.workers.filter(({ timeFactor }) => timeFactor !== 1);
    t.is(other.length, 0, `second ${second}`);
  }
  t.is(played.workerSpeeds.unevenServices, 0);
});

for (const [shared, own] of [[0.33, 0.33], [0.47, 0]] as const) {
  test(`jobs whose three tasks are all long do not make workers differ: shared=${shared}`, (t) => {
    const played = new SimulatedRuns({ workers: 245 });
    const { workers, workerSpeeds } = played;
    const normal = () =>
      Math.sqrt(-2 * Math.log(1 - played.randomUnit())) *
      Math.cos(2 * Math.PI * played.randomUnit());
    let most = 0;
    for (let job = 0; job < 15_000; job++) {
      // 150 jobs per second, each on one worker.
      const nowMs = job * 1_000 / 150;
      const worker = workers[Math.floor(played.randomUnit() * workers.length)]!;
      const common = shared * normal() + (played.randomUnit() < 0.03 ? 2 : 0);
      for (let task = 0; task < 3; task++) {
        const elapsedMs = 700 * Math.exp(common + own * normal());
        const sample = { elapsedMs, typicalMs: 700, job: String(job), nowMs };
        workerSpeeds.record(worker, sample);
      }
      const notAverage = workers.filter(({ timeFactor }) => timeFactor !== 1);
      most = Math.max(most, notAverage.length);
      t.is(workerSpeeds.unevenServices, 0);
    }
    t.true(most <= 1, String(most));
  });
}

test("one long task does not slow a worker", (t) => {
  const even = new SimulatedRuns({ workers: 40, slots: 2 });
  even.begin();
  even.clock.advance(20_000);
  even.nextDurations.set("w3", 40_000);
  even.clock.advance(60_000);
  t.is(even.fleet.getOrCreate("w3").timeFactor, 1);
  const uneven = unevenRuns(1);
  uneven.clock.advance(30_000);
  const worker = uneven.fleet.getOrCreate("w1");
  const before = worker.timeFactor;
  uneven.workerSpeeds.record(worker, {
    elapsedMs: 50_000,
    typicalMs: 600,
    job: "long",
    nowMs: uneven.clock.monotonic(),
  });
  const change = worker.timeFactor / before;
  t.true(change > 0.99 && change < 1.1, String(change));
});

for (const slots of [2, 4]) {
  test(`a worker that turns slow is detected within seconds and recovers: slots=${slots}`, (t) => {
    const played = new SimulatedRuns({ workers: 60, slots, seed: 5 });
    played.begin();
    played.clock.advance(30_000);
    const worker = played.fleet.getOrCreate("w7");
    t.is(worker.timeFactor, 1);
    played.timeFactors.set(worker.id, 3);
    let seconds = 0;
    while (worker.timeFactor < 2 && seconds < 60) {
      played.clock.advance(1_000);
      seconds++;
    }
    t.true(seconds <= 12, `detected after ${seconds} s`);
    played.clock.advance(20_000);
    t.true(Math.abs(worker.timeFactor - 3) < 0.9, String(worker.timeFactor));
    played.timeFactors.set(worker.id, 1);
    for (seconds = 0; worker.timeFactor !== 1 && seconds < 60; seconds++) {
      played.clock.advance(1_000);
    }
    t.true(seconds <= 25, `recovered after ${seconds} s`);
    const others = played.workers.filter(({ timeFactor }) => timeFactor !== 1);
    t.deepEqual(others.map(({ id }) => id), []);
  });
}

test("a restarted worker keeps its speed and follows new runs sooner", (t) => {
  const [known, restarted] = [false, true].map((isRestarted) => {
    const played = unevenRuns(2);
    played.clock.advance(30_000);
    const worker = played.fleet.getOrCreate("w0");
    const before = worker.timeFactor;
    t.true(before > 1.3, String(before));
    if (isRestarted) played.workerSpeeds.recordRestart(worker);
    t.true(worker.timeFactor > 1.2, "kept");
    for (let run = 0; run < 3; run++) {
      const nowMs = played.clock.monotonic();
      const sample = {
        elapsedMs: 600,
        typicalMs: 600,
        job: String(run),
        nowMs,
      };
      played.workerSpeeds.record(worker, sample);
    }
    return worker.timeFactor / before;
  });
  t.true(restarted! < known!, `${restarted} ${known}`);
});

test("workers that are no longer listed are dropped", (t) => {
  const played = unevenRuns(1);
  played.clock.advance(10_000);
  t.is(played.workerSpeeds.size, 245);
  for (const worker of played.workers.slice(100)) worker.listed = false;
  const sample = { elapsedMs: 600, typicalMs: 600, job: "late" };
  const worker = played.fleet.getOrCreate("w0");
  // Long after the last run of all workers.
  const nowMs = played.clock.monotonic() + 3_600_000;
  played.workerSpeeds.record(worker, { ...sample, nowMs });
  t.is(played.workerSpeeds.size, 100);
});
