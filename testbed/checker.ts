/**
 * Compares the responses that callers received with the activity that the
 * stand-ins recorded.
 *
 * @module
 */
import type { Load } from "./load.ts";

/** Request in a worker's record. */
interface RecordedRequest {
  readonly idempotencyKey?: string;
  readonly path: string;
  readonly startedAtMs: number;
  readonly endedAtMs?: number;
  readonly end?: string;
}

/** Task attempt in a worker's record. */
interface RecordedAttempt {
  readonly task: string;
  readonly attempt: string;
  readonly team: string;
  readonly workload: string;
  readonly startedAtMs: number;
  readonly endedAtMs?: number;
  readonly end?: string;
  readonly resources: Amounts;
}

interface Amounts {
  readonly cpuMillis: number;
  readonly memoryMib: number;
  readonly accelerators: number;
  readonly slots: number;
}

/** Activity recorded by one worker. */
export interface WorkerRecord {
  readonly worker: string;
  readonly capacity?: Amounts;
  readonly requests: readonly RecordedRequest[];
  readonly attempts: readonly RecordedAttempt[];
}

/** Counts of violated guarantees; all must be zero. */
export interface Violations {
  /** Workers whose usage exceeded their capacity. */
  overfilledWorkers: number;
  /** Tasks with overlapping attempts, several successes, or a retry although they run at most once. */
  doubledTasks: number;
  /** Requests that ran more than once although they are not idempotent. */
  doubledRequests: number;
  /** Teams that exceeded their limit. */
  limitsPassed: number;
  /** Acknowledged submissions that have not ended. */
  lostWorks: number;
  /** Requests that ran on a worker although the caller got `notRun`. */
  falseNotRun: number;
  /** Responses that belong to another request. */
  crossedAnswers: number;
  /** Requests without an idempotency key with outcome `done` that no worker ran. */
  lostAnswers: number;
}

/** Properties of a service that the checker needs. */
export interface CheckedService {
  /** Prefix of the request path on the workers. */
  readonly prefix: string;
  readonly need: Amounts;
  readonly idempotent: boolean;
}

/** Input of the checker. */
export interface CheckOptions {
  /** Responses that callers received. */
  readonly load: Pick<Load, "requests">;
  readonly records: readonly WorkerRecord[];
  readonly capacity: Amounts;
  /** Services whose requests were sent. */
  readonly services: readonly CheckedService[];
  /** Workloads whose tasks run at most once. */
  readonly onceTasks: readonly string[];
  /** Upper limits by team. */
  readonly limits: Readonly<Record<string, number>>;
  /** Team of requests. */
  readonly requestTeam: string;
  /** Ids of acknowledged submissions that have not ended. */
  readonly unfinished: readonly string[];
}

/** Overlap up to which two spans do not count as simultaneous, milliseconds: workers read their clocks at slightly different moments. */
const CLOCK_TOLERANCE_MS = 2;

/** Counts the violations. */
export function checkRecords(options: CheckOptions): Violations {
  const { load, records } = options;
  const marks = new Set(
    records.flatMap(({ requests }) =>
      requests.filter(({ end }) => end !== "refused").map(requestMark)
    ),
  );
  return {
    overfilledWorkers:
      records.filter((record) => exceedsCapacity(record, options))
        .length,
    doubledTasks: countDuplicateTasks(options),
    doubledRequests: countDuplicateRequests(options),
    limitsPassed: countExceededLimits(options),
    lostWorks: options.unfinished.length,
    falseNotRun:
      load.requests.filter(({ outcome, mark }) =>
        outcome === "notRun" && marks.has(mark)
      ).length,
    crossedAnswers:
      load.requests.filter(({ outcome }) => outcome === "crossed").length,
    lostAnswers:
      load.requests.filter(({ outcome, mark }) =>
        outcome === "done" && !marks.has(mark)
      ).length - countRepeatedAnswers(options, marks),
  };
}

/** Number of responses that repeat the stored result of an earlier try with the same idempotency key. */
function countRepeatedAnswers(
  { load }: CheckOptions,
  marks: ReadonlySet<string>,
): number {
  return load.requests.filter(({ outcome, mark, key }) =>
    outcome === "done" && key !== undefined && !marks.has(mark)
  ).length;
}

/** Timelines of the workers whose capacity was exceeded, one line per start or end, for diagnosis. */
export function capacityTimelines(options: CheckOptions): string[] {
  return options.records
    .filter((record) => exceedsCapacity(record, options))
    .flatMap((record) => [`worker ${record.worker}`, ...timelineOf(record)]);
}

/** Starts and ends on a worker in chronological order, with the number running after each. */
function timelineOf(record: WorkerRecord): string[] {
  const entries = [
    ...record.requests.map((ran) => ({ ran, name: requestMark(ran) })),
    ...record.attempts.map((ran) => ({ ran, name: ran.task })),
  ];
  const steps = entries.flatMap(({ ran, name }) => [
    { atMs: ran.startedAtMs, change: 1, name },
    { atMs: ran.endedAtMs ?? Infinity, change: -1, name },
  ]).sort((a, b) => a.atMs - b.atMs);
  let running = 0;
  return steps.map(({ atMs, change, name }) => {
    running += change;
    return `${atMs.toFixed(1)} ${change > 0 ? "start" : "end"} ${name} ` +
      `running=${running}`;
  });
}

interface Span {
  readonly startMs: number;
  readonly endMs: number;
  readonly need: Amounts;
}

function exceedsCapacity(record: WorkerRecord, options: CheckOptions): boolean {
  const { capacity } = options;
  const requests = record.requests
    .filter(({ end }) => end !== "refused")
    .map((ran) => spanOf(ran, serviceOf(ran, options)?.need ?? ONE_SLOT));
  const attempts = record.attempts.map((ran) => spanOf(ran, ran.resources));
  const spans = [...requests, ...attempts];
  return DIMENSIONS.some((dimension) =>
    peakOf(spans, (need) => need[dimension]) > capacity[dimension]
  );
}

function countDuplicateTasks({ records, onceTasks }: CheckOptions): number {
  const byTask = new Map<string, RecordedAttempt[]>();
  for (const attempt of records.flatMap(({ attempts }) => attempts)) {
    const others = byTask.get(attempt.task) ?? [];
    byTask.set(attempt.task, [...others, attempt]);
  }
  return [...byTask.values()].filter((attempts) => {
    const spans = attempts.map((ran) => spanOf(ran, ONE_SLOT));
    const successes = attempts.filter(({ end }) => end === "succeeded").length;
    const once = onceTasks.includes(attempts[0]?.workload ?? "");
    return peakOf(spans, ({ slots }) => slots) > 1 ||
      (once && attempts.length > 1) || successes > 1;
  }).length;
}

function countDuplicateRequests(options: CheckOptions): number {
  const seen = new Map<string, number>();
  const ran = options.records.flatMap(({ requests }) => requests)
    .filter(({ end }) => end !== "refused")
    .filter((request) => serviceOf(request, options)?.idempotent === false);
  for (const request of ran) {
    const name = request.idempotencyKey ?? requestMark(request);
    seen.set(name, (seen.get(name) ?? 0) + 1);
  }
  return [...seen.values()].filter((count) => count > 1).length;
}

function countExceededLimits(options: CheckOptions): number {
  const { records, limits, requestTeam } = options;
  return Object.entries(limits).filter(([team, limit]) => {
    const attempts = records.flatMap(({ attempts }) => attempts)
      .filter((ran) => ran.team === team);
    const requests = team === requestTeam
      ? records.flatMap((record) => record.requests)
        .filter(({ end }) => end !== "refused")
      : [];
    const spans = [...attempts, ...requests].map((ran) =>
      spanOf(ran, ONE_SLOT)
    );
    return peakOf(spans, ({ slots }) => slots) > limit;
  }).length;
}

/** Maximum over time of the sum of `amountOf` over the spans active at that time. */
export function peakOf(
  spans: readonly Span[],
  amountOf: (need: Amounts) => number,
): number {
  const steps = spans.flatMap(({ startMs, endMs, need }) => [
    { atMs: startMs, change: amountOf(need) },
    { atMs: endMs - CLOCK_TOLERANCE_MS, change: -amountOf(need) },
  ]);
  steps.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  let sum = 0;
  let peak = 0;
  for (const { change } of steps) {
    sum += change;
    peak = Math.max(peak, sum);
  }
  return peak;
}

const DIMENSIONS = [
  "slots",
  "cpuMillis",
  "memoryMib",
  "accelerators",
] as const;

const ONE_SLOT: Amounts = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 1,
};

function spanOf(
  ran: { readonly startedAtMs: number; readonly endedAtMs?: number },
  need: Amounts,
): Span {
  const startMs = ran.startedAtMs;
  const endMs = ran.endedAtMs ?? Infinity;
  return {
    startMs,
    endMs: Math.max(startMs + CLOCK_TOLERANCE_MS, endMs),
    need,
  };
}

function requestMark({ path }: RecordedRequest): string {
  return path.slice(path.lastIndexOf("/") + 1);
}

function serviceOf(
  { path }: RecordedRequest,
  { services }: CheckOptions,
): CheckedService | undefined {
  return services.find(({ prefix }) => path.startsWith(prefix));
}
