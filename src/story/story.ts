/**
 * One job's story from the logs of several instances.
 *
 * @module
 */

/** One line of a log. */
export interface LogLine {
  /** As the line tells it, ISO 8601. */
  readonly time: string;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** Events of the surroundings that explain what happened to a job meanwhile. */
const SURROUNDINGS: ReadonlySet<string> = new Set([
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

/** Events of a worker that explain what happened to the runs on it. */
const WORKER_EVENTS: ReadonlySet<string> = new Set([
  "worker.silent",
  "worker.answers",
  "worker.reborn",
  "worker.unlisted",
  "worker.quarantined",
]);

const FIELD = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads a line; `undefined` if it is none of ours. Text before the time is passed over. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields: Record<string, string> = {};
  for (const [, name, value] of text.slice(start).matchAll(FIELD)) {
    if (name !== undefined && value !== undefined) fields[name] = plain(value);
  }
  const { time, node, event, level: _level, ...rest } = fields;
  if (time === undefined || event === undefined) return undefined;
  return { time, node: node ?? "", event, fields: rest };
}

/**
 * The lines that tell of a job, in the order of their times, with those of the
 * surroundings from its first line to its last.
 */
export function storyOf(
  lines: readonly LogLine[],
  job: string,
): readonly LogLine[] {
  const own = lines.filter((line) => isAbout(line, job));
  const times = own.map((line) => line.time).sort();
  const first = times[0];
  const last = times.at(-1);
  if (first === undefined || last === undefined) return [];
  const workers = new Set(own.flatMap((line) => line.fields["worker"] ?? []));
  const around = lines.filter((line) =>
    !isAbout(line, job) && line.time >= first && line.time <= last &&
    explains(line, workers)
  );
  return [...own, ...around].sort((a, b) => a.time < b.time ? -1 : 1);
}

function isAbout({ fields }: LogLine, job: string): boolean {
  return fields["job"] === job || (fields["task"] ?? "").startsWith(`${job}.`);
}

function explains(
  { event, fields }: LogLine,
  workers: ReadonlySet<string>,
): boolean {
  if (SURROUNDINGS.has(event)) return true;
  return WORKER_EVENTS.has(event) && workers.has(fields["worker"] ?? "");
}

function plain(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value);
  } catch {
    // A line that was cut: its text is still better than nothing.
    return value;
  }
}
