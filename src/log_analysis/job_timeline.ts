/**
 * Parses log lines and extracts the timeline of one job from the logs of
 * several instances.
 *
 * @module
 */

/** One parsed log line. */
export interface LogLine {
  /** ISO 8601, as written in the line. */
  readonly time: string;
  /** Name of the instance that wrote the line; empty if the line has none. */
  readonly node: string;
  readonly event: string;
  /** All other fields except `level`. */
  readonly fields: Readonly<Record<string, string>>;
}

/** Events of instances, leadership, the store and the operator set; they affect every job. */
const CELL_EVENTS: ReadonlySet<string> = new Set([
  "process.started",
  "process.leaving",
  "process.stopped",
  "hold.gained",
  "hold.lost",
  "hold.yielded",
  "cell.recovered",
  "store.lost",
  "store.regained",
  "set.inForce",
]);

/** Events of a worker; they affect the runs on it. */
const WORKER_EVENTS: ReadonlySet<string> = new Set([
  "worker.silent",
  "worker.answers",
  "worker.reborn",
  "worker.unlisted",
  "worker.quarantined",
]);

/** One `name=value` field; a value in quotes is a JSON string. */
const FIELD_PATTERN = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Parses a line of `name=value` fields. Ignores text before `time=`; returns
 * `undefined` if the time or the event is missing.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields: Record<string, string> = {};
  for (const [, key, value] of text.slice(start).matchAll(FIELD_PATTERN)) {
    if (key !== undefined && value !== undefined) fields[key] = unquote(value);
  }
  const { time, node, event, level: _level, ...rest } = fields;
  if (time === undefined || event === undefined) return undefined;
  return { time, node: node ?? "", event, fields: rest };
}

/**
 * Returns the lines about a job, sorted by time, together with the events of
 * the cell and of the job's workers between its first and its last line.
 */
export function timelineOf(
  lines: readonly LogLine[],
  job: string,
): readonly LogLine[] {
  const jobLines = lines.filter((line) => concernsJob(line, job));
  const times = jobLines.map((line) => line.time).sort();
  const first = times[0];
  const last = times.at(-1);
  if (first === undefined || last === undefined) return [];
  const workers = new Set(
    jobLines.flatMap((line) => line.fields["worker"] ?? []),
  );
  const contextLines = lines.filter((line) =>
    !concernsJob(line, job) && line.time >= first && line.time <= last &&
    isContext(line, workers)
  );
  return [...jobLines, ...contextLines].sort((a, b) =>
    a.time < b.time ? -1 : 1
  );
}

function concernsJob({ fields }: LogLine, job: string): boolean {
  return fields["job"] === job || (fields["task"] ?? "").startsWith(`${job}.`);
}

function isContext(
  { event, fields }: LogLine,
  workers: ReadonlySet<string>,
): boolean {
  if (CELL_EVENTS.has(event)) return true;
  return WORKER_EVENTS.has(event) && workers.has(fields["worker"] ?? "");
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value);
  } catch {
    // The line is truncated; return the raw text.
    return value;
  }
}
