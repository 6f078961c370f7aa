import process from "node:process";
import test from "ava";
import { countLossesBy, SubmissionAnalyzer } from "./submission_analyzer.ts";
import type { Cause } from "./job_summary.ts";

const LATE_JOB = "00000000000000a1";
const REJECTED_JOB = "00000000000000a2";
const TIMELY_JOB = "00000000000000a3";

/** A log line written `atMs` milliseconds after midnight. */
function logLine(atMs: number, text: string): string {
  const time = new Date(Date.UTC(2026, 0, 1) + atMs).toISOString();
  return `time=${time} level=info node=n1 ${text}`;
}

/** Lines of a submission that is sent at `fromMs`, accepted within 25 ms and done at `endMs`. */
function jobLines(
  id: string,
  { fromMs, endMs, between = [] }: {
    readonly fromMs: number;
    readonly endMs: number;
    readonly between?: readonly string[];
  },
): readonly string[] {
  const about = `job=${id} queue=lookups`;
  return [
    logLine(
      fromMs + 20,
      `event=job.submitted ${about} objectiveMs=1200 tookMs=20 outcome=accepted`,
    ),
    logLine(
      fromMs + 25,
      `event=client.call method=POST job=${id} outcome=accepted tookMs=25`,
    ),
    ...between,
    logLine(
      endMs,
      `event=job.ended ${about} state=done objectiveMs=1200 ageMs=${
        endMs - fromMs
      }`,
    ),
  ];
}

function analyze(lines: readonly string[]) {
  const analyzer = new SubmissionAnalyzer();
  for (const [index, text] of lines.entries()) analyzer.add(text, `f:${index}`);
  return analyzer.report();
}

const CAUSE_CASES: readonly {
  readonly cause: Cause;
  readonly lines: readonly string[];
}[] = [
  {
    cause: "noRoom",
    lines: [logLine(
      1_500,
      `event=step.waited job=${LATE_JOB} step=0 waitedMs=1400 noRoomMs=1300 adviceMs=100`,
    )],
  },
  {
    cause: "teamLimit",
    lines: [
      logLine(
        1_500,
        `event=step.waited job=${LATE_JOB} step=0 teamLimitMs=1400`,
      ),
    ],
  },
  {
    cause: "failedRuns",
    lines: [
      logLine(
        200,
        `event=run.start job=${LATE_JOB} task=${LATE_JOB}.0.0.0 run=1 tookMs=5 outcome=started`,
      ),
      logLine(
        1_400,
        `event=run.end task=${LATE_JOB}.0.0.0 run=1 how=failed counted=true`,
      ),
    ],
  },
  {
    cause: "unansweredOrder",
    lines: [
      logLine(
        400,
        `event=run.start job=${LATE_JOB} task=${LATE_JOB}.0.0.0 run=1 tookMs=300 outcome=unknown`,
      ),
      logLine(
        1_600,
        `event=run.lost job=${LATE_JOB} task=${LATE_JOB}.0.0.0 run=1 reason=notThere`,
      ),
    ],
  },
  {
    cause: "workerLost",
    lines: [
      logLine(
        200,
        `event=run.start job=${LATE_JOB} task=${LATE_JOB}.0.0.0 run=1 tookMs=5 outcome=started`,
      ),
      logLine(
        1_600,
        `event=run.lost job=${LATE_JOB} task=${LATE_JOB}.0.0.0 run=1 reason=workerDead`,
      ),
    ],
  },
  {
    cause: "noHolder",
    lines: [
      logLine(900, "event=hold.gained fence=2 silenceMs=400"),
      logLine(1_700, "event=cell.recovered fence=2 jobs=1"),
    ],
  },
  {
    cause: "storeAway",
    lines: [logLine(1_800, "event=cell.load fence=1 storeStuckMs=1500")],
  },
  { cause: "untold", lines: [] },
];

/** Reasons and the fields of a step that still waits, with the cause of an unfinished submission. */
const WAITING_CASES: readonly {
  readonly cause: Cause;
  readonly fields: string;
}[] = [
  {
    cause: "advice",
    fields: "reason=noAdvice reasonMs=3000 noAdviceMs=3000 turnMs=10",
  },
  { cause: "noRoom", fields: "reason=noRoom reasonMs=3900 noRoomMs=3900" },
  {
    cause: "teamLimit",
    fields: "reason=limitHeadroom reasonMs=3900 limitHeadroomMs=3900",
  },
  { cause: "queueOrder", fields: "reason=turn reasonMs=4000 turnMs=4000" },
  { cause: "storeAway", fields: "reason=store reasonMs=3000" },
  { cause: "unansweredOrder", fields: "reason=start reasonMs=3000" },
  { cause: "workerLost", fields: "reason=report reasonMs=3000" },
  { cause: "stopping", fields: "reason=stop reasonMs=3000" },
  { cause: "missing", fields: "reason=missing reasonMs=3000" },
];

for (const { cause, fields } of WAITING_CASES) {
  test(`the cause of a submission that still waits is ${cause}: ${fields}`, (t) => {
    const lines = [
      ...jobLines(LATE_JOB, { fromMs: 0, endMs: 9_000 }).slice(0, -1),
      logLine(
        4_100,
        `event=step.waiting job=${LATE_JOB} step=0 waitedMs=4000 ${fields}`,
      ),
    ];
    for (const order of [lines, lines.toReversed()]) {
      const [analyzed] = analyze(order).jobs;
      t.is(analyzed?.outcome, "unfinished");
      t.is(analyzed?.cause, cause);
      t.true(Number(analyzed?.lostMs) >= 3_000);
    }
  });
}

for (const { cause, lines } of CAUSE_CASES) {
  test(`the cause of a late submission is ${cause}`, (t) => {
    const all = jobLines(LATE_JOB, { fromMs: 0, endMs: 2_600, between: lines });
    for (const order of [all, all.toReversed()]) {
      const [analyzed] = analyze(order).jobs;
      t.is(analyzed?.outcome, "late");
      t.is(analyzed?.cause, cause);
    }
  });
}

/** Lines of a successful run from 100 ms to `endMs` on a worker with the given time factor. */
function runLines(
  id: string,
  { endMs, timeFactor }: {
    readonly endMs: number;
    readonly timeFactor: number;
  },
): readonly string[] {
  const run = `task=${id}.0.0.0 run=1`;
  return [
    logLine(
      105,
      `event=run.start job=${id} ${run} tookMs=5 timeFactor=${timeFactor} expectedMs=900 outcome=started`,
    ),
    logLine(
      endMs,
      `event=run.end ${run} how=done counted=true tookMs=${endMs}`,
    ),
  ];
}

/** Lines of 20 timely submissions, with runs of 900 ms on average workers. */
const TIMELY_LINES = Array.from({ length: 20 }, (_, index) => {
  const id = (0xb00 + index).toString(16).padStart(16, "0");
  const between = runLines(id, { endMs: 1_000, timeFactor: 1 });
  return jobLines(id, { fromMs: 0, endMs: 1_100, between });
}).flat();

const LONG_RUN_CASES: readonly {
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

// Guards against reporting a slow worker when the task is long, and the reverse.
for (const { cause, timeFactor, what } of LONG_RUN_CASES) {
  test(`the cause of a long run ${what} is ${cause}`, (t) => {
    const between = runLines(LATE_JOB, { endMs: 2_350, timeFactor });
    const all = [
      ...TIMELY_LINES,
      ...jobLines(LATE_JOB, { fromMs: 0, endMs: 2_400, between }),
    ];
    for (const order of [all, all.toReversed()]) {
      const analyzed = analyze(order).jobs.find((candidate) =>
        candidate.job === LATE_JOB
      );
      t.is(analyzed?.outcome, "late");
      t.is(analyzed?.cause, cause);
    }
  });
}

test("a gang with one task on a slow worker is late because of the slow worker", (t) => {
  const between = [
    ...runLines(LATE_JOB, { endMs: 2_350, timeFactor: 2.5 }),
    ...runLines(LATE_JOB, { endMs: 2_352, timeFactor: 0.63 })
      .map((text) => text.replaceAll("0.0.0 ", "0.0.1 ")),
  ];
  const { jobs } = analyze([
    ...TIMELY_LINES,
    ...jobLines(LATE_JOB, { fromMs: 0, endMs: 2_400, between }),
  ]);
  const analyzed = jobs.find((candidate) => candidate.job === LATE_JOB);
  t.is(analyzed?.cause, "slowWorker");
});

test("timely and rejected submissions are counted by second", (t) => {
  const { jobs } = analyze([
    ...jobLines(TIMELY_JOB, { fromMs: 0, endMs: 900 }),
    logLine(
      2_100,
      `event=client.call method=POST job=${REJECTED_JOB} outcome=storeAway tookMs=60`,
    ),
  ]);
  t.deepEqual(jobs.map(({ outcome, cause }) => [outcome, cause]), [
    ["inTime", undefined],
    ["refused", "storeAway"],
  ]);
  t.deepEqual(countLossesBy(jobs, ({ second }) => String(second)), [
    { of: "0", submitted: 1, lost: 0 },
    { of: "2", submitted: 1, lost: 1, storeAway: 1 },
  ]);
});

test("a call with an unknown key is not counted as lost", (t) => {
  const { jobs } = analyze([
    logLine(
      0,
      `event=client.call method=POST job=${REJECTED_JOB} outcome=unknownKey`,
    ),
  ]);
  t.deepEqual(jobs.map(({ outcome, cause }) => [outcome, cause]), [
    ["denied", undefined],
  ]);
});

test("unreadable lines are counted and located, lines of other events only counted", (t) => {
  const report = analyze([
    "text without fields",
    "time=yesterday node=n1 event=job.ended job=00000000000000a1",
    logLine(0, "event=set.inForce version=2"),
    "",
  ]);
  t.is(report.lines, 3);
  t.is(report.unreadable, 2);
  t.deepEqual(report.unreadableAt, ["f:0", "f:1"]);
});

test("memory does not grow with the number of lines of a submission", (t) => {
  const analyzer = new SubmissionAnalyzer();
  const before = process.memoryUsage().heapUsed;
  for (let run = 1; run <= 100_000; run++) {
    const about = `task=${LATE_JOB}.0.0.0 run=${run}`;
    analyzer.add(
      logLine(
        run,
        `event=run.start job=${LATE_JOB} ${about} tookMs=1 outcome=started`,
      ),
      "f",
    );
    analyzer.add(
      logLine(run + 1, `event=run.end ${about} how=failed counted=true`),
      "f",
    );
  }
  t.true(process.memoryUsage().heapUsed - before < 100e6);
  t.is(analyzer.report().lines, 200_000);
});
