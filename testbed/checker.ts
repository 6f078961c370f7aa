/**
 * Compares what callers were told with what the stand-ins recorded.
 *
 * @module
 */
import type { Load } from "./load.ts";

/** A request as a worker recorded it. */
interface RanRequest {
  readonly idempotencyKey?: string;
  readonly path: string;
  readonly startedAtMs: number;
  readonly endedAtMs?: number;
  readonly end?: string;
}

/** An attempt as a worker recorded it. */
interface RanAttempt {
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

/** One worker's record. */
export interface WorkerRecord {
  readonly worker: string;
  readonly capacity?: Amounts;
  readonly requests: readonly RanRequest[];
  readonly attempts: readonly RanAttempt[];
}

/** What must be zero. */
export interface Violations {
  overfilledWorkers: number;
  doubledTasks: number;
  doubledRequests: number;
  limitsPassed: number;
  lostWorks: number;
  falseNotRun: number;
  crossedAnswers: number;
  lostAnswers: number;
}

/** What the checker knows of a service. */
export interface ServiceFacts {
  readonly prefix: string;
  readonly need: Amounts;
  readonly idempotent: boolean;
}

/** What the checker compares. */
export interface CheckOptions {
  /** What callers were told. */
  readonly load: Pick<Load, "requests">;
  readonly records: readonly WorkerRecord[];
  readonly capacity: Amounts;
  /** The services by the prefix of their path on the workers. */
  readonly services: readonly ServiceFacts[];
  /** Workloads whose tasks run at most once. */
  readonly onceTasks: readonly string[];
  /** Upper limits by team. */
  readonly limits: Readonly<Record<string, number>>;
  /** Team of requests. */
  readonly requestTeam: string;
  /** Works that were acknowledged and have not ended. */
  readonly unfinished: readonly string[];
}

/** Two things at one time are tolerated for so long, milliseconds: clocks of records are read apart. */
const CLOCK_BLUR_MS = 2;

/** Counts the violations. */
export function checkRecords(options: CheckOptions): Violations {
  const { load, records } = options;
  const marks = new Set(
    records.flatMap(({ requests }) =>
      requests.filter(({ end }) => end !== "refused").map(markOf)
    ),
  );
  return {
    overfilledWorkers: records.filter((record) => overfilled(record, options))
      .length,
    doubledTasks: doubledTasks(options),
    doubledRequests: doubledRequests(options),
    limitsPassed: limitsPassed(options),
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
      ).length - repeatedAnswers(options, marks),
  };
}

/** Answers that were kept from an earlier try with the same key. */
function repeatedAnswers(
  { load }: CheckOptions,
  marks: ReadonlySet<string>,
): number {
  return load.requests.filter(({ outcome, mark, key }) =>
    outcome === "done" && key !== undefined && !marks.has(mark)
  ).length;
}

/** What stands behind the overfilled workers, for whoever looks for the cause. */
export function evidenceOf(options: CheckOptions): string[] {
  return options.records
    .filter((record) => overfilled(record, options))
    .flatMap((record) => [`worker ${record.worker}`, ...stepsOf(record)]);
}

/** Starts and ends on a worker in order of time, with the number running. */
function stepsOf(record: WorkerRecord): string[] {
  const all = [
    ...record.requests.map((ran) => ({ ran, name: markOf(ran) })),
    ...record.attempts.map((ran) => ({ ran, name: ran.task })),
  ];
  const steps = all.flatMap(({ ran, name }) => [
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

function overfilled(record: WorkerRecord, options: CheckOptions): boolean {
  const { capacity } = options;
  const requests = record.requests
    .filter(({ end }) => end !== "refused")
    .map((ran) => spanOf(ran, serviceOf(ran, options)?.need ?? oneSlot));
  const attempts = record.attempts.map((ran) => spanOf(ran, ran.resources));
  const all = [...requests, ...attempts];
  return dimensions.some((dimension) =>
    peakOf(all, (need) => need[dimension]) > capacity[dimension]
  );
}

function doubledTasks({ records, onceTasks }: CheckOptions): number {
  const byTask = new Map<string, RanAttempt[]>();
  for (const attempt of records.flatMap(({ attempts }) => attempts)) {
    const others = byTask.get(attempt.task) ?? [];
    byTask.set(attempt.task, [...others, attempt]);
  }
  return [...byTask.values()].filter((attempts) => {
    const spans = attempts.map((ran) => spanOf(ran, oneSlot));
    const successes = attempts.filter(({ end }) => end === "succeeded").length;
    const once = onceTasks.includes(attempts[0]?.workload ?? "");
    return peakOf(spans, ({ slots }) => slots) > 1 ||
      (once && attempts.length > 1) || successes > 1;
  }).length;
}

function doubledRequests(options: CheckOptions): number {
  const seen = new Map<string, number>();
  const ran = options.records.flatMap(({ requests }) => requests)
    .filter(({ end }) => end !== "refused")
    .filter((request) => serviceOf(request, options)?.idempotent === false);
  for (const request of ran) {
    const name = request.idempotencyKey ?? markOf(request);
    seen.set(name, (seen.get(name) ?? 0) + 1);
  }
  return [...seen.values()].filter((count) => count > 1).length;
}

function limitsPassed(options: CheckOptions): number {
  const { records, limits, requestTeam } = options;
  return Object.entries(limits).filter(([team, limit]) => {
    const attempts = records.flatMap(({ attempts }) => attempts)
      .filter((ran) => ran.team === team);
    const requests = team === requestTeam
      ? records.flatMap((record) => record.requests)
        .filter(({ end }) => end !== "refused")
      : [];
    const spans = [...attempts, ...requests].map((ran) => spanOf(ran, oneSlot));
    return peakOf(spans, ({ slots }) => slots) > limit;
  }).length;
}

/** The largest sum at any time. */
export function peakOf(
  spans: readonly Span[],
  amountOf: (need: Amounts) => number,
): number {
  const steps = spans.flatMap(({ startMs, endMs, need }) => [
    { atMs: startMs, change: amountOf(need) },
    { atMs: endMs - CLOCK_BLUR_MS, change: -amountOf(need) },
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

const dimensions = [
  "slots",
  "cpuMillis",
  "memoryMib",
  "accelerators",
] as const;

const oneSlot: Amounts = {
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
  return { startMs, endMs: Math.max(startMs + CLOCK_BLUR_MS, endMs), need };
}

function markOf({ path }: RanRequest): string {
  return path.slice(path.lastIndexOf("/") + 1);
}

function serviceOf(
  { path }: RanRequest,
  { services }: CheckOptions,
): ServiceFacts | undefined {
  return services.find(({ prefix }) => path.startsWith(prefix));
}
