import process from "node:process";
import test from "ava";
import { Account, lossesBy } from "./account.ts";
import type { Cause } from "./job_notes.ts";

const LATE = "00000000000000a1";
const REFUSED = "00000000000000a2";
const FINE = "00000000000000a3";

/** A line at so many milliseconds of a day. */
function line(atMs: number, text: string): string {
  const time = new Date(Date.UTC(2026, 0, 1) + atMs).toISOString();
  return `time=${time} level=info node=n1 ${text}`;
}

/** One submission that is accepted at once and ends after so many milliseconds. */
function job(
  id: string,
  { fromMs, endMs, between = [] }: {
    readonly fromMs: number;
    readonly endMs: number;
    readonly between?: readonly string[];
  },
): readonly string[] {
  const about = `job=${id} queue=lookups`;
  return [
    line(
      fromMs + 20,
      `event=job.submitted ${about} objectiveMs=1200 tookMs=20 outcome=accepted`,
    ),
    line(
      fromMs + 25,
      `event=client.call method=POST job=${id} outcome=accepted tookMs=25`,
    ),
    ...between,
    line(
      endMs,
      `event=job.ended ${about} state=done objectiveMs=1200 ageMs=${
        endMs - fromMs
      }`,
    ),
  ];
}

function accountOf(lines: readonly string[]) {
  const account = new Account();
  for (const [index, text] of lines.entries()) account.take(text, `f:${index}`);
  return account.report();
}

const CAUSES: readonly {
  readonly cause: Cause;
  readonly lines: readonly string[];
}[] = [
  {
    cause: "noRoom",
    lines: [line(
      1_500,
      `event=step.waited job=${LATE} step=0 waitedMs=1400 noRoomMs=1300 adviceMs=100`,
    )],
  },
  {
    cause: "teamLimit",
    lines: [
      line(1_500, `event=step.waited job=${LATE} step=0 teamLimitMs=1400`),
    ],
  },
  {
    cause: "failedRuns",
    lines: [
      line(
        200,
        `event=run.start job=${LATE} task=${LATE}.0.0.0 run=1 tookMs=5 outcome=started`,
      ),
      line(
        1_400,
        `event=run.end task=${LATE}.0.0.0 run=1 how=failed counted=true`,
      ),
    ],
  },
  {
    cause: "unansweredOrder",
    lines: [
      line(
        400,
        `event=run.start job=${LATE} task=${LATE}.0.0.0 run=1 tookMs=300 outcome=unknown`,
      ),
      line(
        1_600,
        `event=run.lost job=${LATE} task=${LATE}.0.0.0 run=1 reason=notThere`,
      ),
    ],
  },
  {
    cause: "workerLost",
    lines: [
      line(
        200,
        `event=run.start job=${LATE} task=${LATE}.0.0.0 run=1 tookMs=5 outcome=started`,
      ),
      line(
        1_600,
        `event=run.lost job=${LATE} task=${LATE}.0.0.0 run=1 reason=workerDead`,
      ),
    ],
  },
  {
    cause: "noHolder",
    lines: [
      line(900, "event=hold.gained fence=2 silenceMs=400"),
      line(1_700, "event=cell.recovered fence=2 jobs=1"),
    ],
  },
  {
    cause: "storeAway",
    lines: [line(1_800, "event=cell.load fence=1 storeStuckMs=1500")],
  },
  { cause: "untold", lines: [] },
];

for (const { cause, lines } of CAUSES) {
  test(`a late submission: ${cause}`, (t) => {
    const all = job(LATE, { fromMs: 0, endMs: 2_600, between: lines });
    for (const order of [all, all.toReversed()]) {
      const [told] = accountOf(order).jobs;
      t.is(told?.outcome, "late");
      t.is(told?.cause, cause);
    }
  });
}

/** A done run from 100 ms on, on a worker of a time factor. */
function doneRun(
  id: string,
  { endMs, timeFactor }: {
    readonly endMs: number;
    readonly timeFactor: number;
  },
): readonly string[] {
  const run = `task=${id}.0.0.0 run=1`;
  return [
    line(
      105,
      `event=run.start job=${id} ${run} tookMs=5 timeFactor=${timeFactor} expectedMs=900 outcome=started`,
    ),
    line(endMs, `event=run.end ${run} how=done counted=true tookMs=${endMs}`),
  ];
}

/** Submissions in time whose runs take 900 ms on average workers. */
const USUAL = Array.from({ length: 20 }, (_, index) => {
  const id = (0xb00 + index).toString(16).padStart(16, "0");
  const between = doneRun(id, { endMs: 1_000, timeFactor: 1 });
  return job(id, { fromMs: 0, endMs: 1_100, between });
}).flat();

const LONG_RUNS: readonly {
  readonly cause: Cause;
  readonly timeFactor: number;
  readonly what: string;
}[] = [
  { cause: "slowWorker", timeFactor: 2.5, what: "on a slow worker" },
  { cause: "slowWorker", timeFactor: 1.7, what: "on a rather slow worker" },
  { cause: "longRuns", timeFactor: 1, what: "on an average worker" },
  { cause: "longRuns", timeFactor: 0.63, what: "on a fast worker" },
  { cause: "longRuns", timeFactor: 1.2, what: "on a somewhat slow worker" },
];

// Guards against blaming a worker for tasks that are long, and the reverse.
for (const { cause, timeFactor, what } of LONG_RUNS) {
  test(`a late submission whose run is long ${what}: ${cause}`, (t) => {
    const between = doneRun(LATE, { endMs: 2_350, timeFactor });
    const all = [...USUAL, ...job(LATE, { fromMs: 0, endMs: 2_400, between })];
    for (const order of [all, all.toReversed()]) {
      const told = accountOf(order).jobs.find((one) => one.job === LATE);
      t.is(told?.outcome, "late");
      t.is(told?.cause, cause);
    }
  });
}

test("a gang that waits for its slow member is late because of it", (t) => {
  const between = [
    ...doneRun(LATE, { endMs: 2_350, timeFactor: 2.5 }),
    ...doneRun(LATE, { endMs: 2_352, timeFactor: 0.63 })
      .map((text) => text.replaceAll("0.0.0 ", "0.0.1 ")),
  ];
  const { jobs } = accountOf([
    ...USUAL,
    ...job(LATE, { fromMs: 0, endMs: 2_400, between }),
  ]);
  const told = jobs.find((one) => one.job === LATE);
  t.is(told?.cause, "slowWorker");
});

test("submissions in time and refused ones, by queue and by second", (t) => {
  const { jobs } = accountOf([
    ...job(FINE, { fromMs: 0, endMs: 900 }),
    line(
      2_100,
      `event=client.call method=POST job=${REFUSED} outcome=storeAway tookMs=60`,
    ),
  ]);
  t.deepEqual(jobs.map(({ outcome, cause }) => [outcome, cause]), [
    ["inTime", undefined],
    ["refused", "storeAway"],
  ]);
  t.deepEqual(lossesBy(jobs, ({ second }) => String(second)), [
    { of: "0", submitted: 1, lost: 0 },
    { of: "2", submitted: 1, lost: 1, storeAway: 1 },
  ]);
});

test("a call without a known key is no loss", (t) => {
  const { jobs } = accountOf([
    line(0, `event=client.call method=POST job=${REFUSED} outcome=unknownKey`),
  ]);
  t.deepEqual(jobs.map(({ outcome, cause }) => [outcome, cause]), [
    ["denied", undefined],
  ]);
});

test("a line that cannot be read is counted and named, other text is passed over", (t) => {
  const report = accountOf([
    "no line of ours",
    "time=yesterday node=n1 event=job.ended job=00000000000000a1",
    line(0, "event=set.inForce version=2"),
    "",
  ]);
  t.is(report.lines, 3);
  t.is(report.unreadable, 2);
  t.deepEqual(report.unreadableAt, ["f:0", "f:1"]);
});

test("what is kept grows with the submissions, not with the lines", (t) => {
  const account = new Account();
  const before = process.memoryUsage().heapUsed;
  for (let run = 1; run <= 100_000; run++) {
    const about = `task=${LATE}.0.0.0 run=${run}`;
    account.take(
      line(
        run,
        `event=run.start job=${LATE} ${about} tookMs=1 outcome=started`,
      ),
      "f",
    );
    account.take(
      line(run + 1, `event=run.end ${about} how=failed counted=true`),
      "f",
    );
  }
  t.true(process.memoryUsage().heapUsed - before < 100e6);
  t.is(account.report().lines, 200_000);
});
