/**
 * One line of key=value pairs for each event.
 *
 * @module
 */
import process from "node:process";
import { type ILogObjMeta, Logger as TsLogger } from "tslog";

/** Levels in order of urgency; the values are tslog's. */
export const logLevels = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
} as const;

/** Name of a log level. */
export type LogLevel = keyof typeof logLevels;

/** What an event may carry. Keys and bodies of callers never go in. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events. */
export interface Log {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

/** A log that drops everything. */
export const silentLog: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** Formats one event as a line without its newline. */
export function formatLine(event: string, fields: Fields): string {
  let line = `event=${event}`;
  for (const name in fields) {
    const value = fields[name];
    if (value !== undefined) line += ` ${name}=${quote(String(value))}`;
  }
  return line;
}

/** Takes finished lines. */
export type WriteLine = (event: string, line: string) => void;

/** A finished line of an event. */
interface Line {
  readonly event: string;
  readonly line: string;
}

/** Opens a log, on standard error unless told otherwise. `common` goes into every line. */
export function openLog(
  level: LogLevel,
  common: Fields,
  writeLine: WriteLine = (_event, line) =>
    void process.stderr.write(line + "\n"),
): Log {
  const logger = new TsLogger<Line>({
    type: "hidden",
    minLevel: logLevels[level],
    // The position of a call costs a stack trace for each line.
    hideLogPositionForProduction: true,
    // The line is finished: copies of it and notes about the process cost more than the line.
    overwrite: {
      mask: (args) => args,
      toLogObj: ([line]) => line as Line,
      addMeta: (line) => line as Line & ILogObjMeta,
    },
  });
  logger.attachTransport((record) => {
    const { event, line } = record as unknown as Line;
    writeLine(event, line);
  });
  function write(severity: LogLevel, event: string, fields: Fields = {}): void {
    if (logLevels[severity] < logLevels[level]) return;
    const time = new Date().toISOString();
    const all = { level: severity, ...common, ...fields };
    const line = `time=${time} ${formatLine(event, all)}`;
    logger.log(logLevels[severity], severity, { event, line });
  }
  return {
    debug: (event, fields) => write("debug", event, fields),
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    error: (event, fields) => write("error", event, fields),
  };
}

/** Characters that end a line or steer a terminal, and that JSON leaves as they are. */
const UNPRINTABLE = /[\u007f-\u009f\u2028\u2029]/g;

function quote(value: string): string {
  if (/^[\w./:@+-]+$/.test(value)) return value;
  return JSON.stringify(value).replace(UNPRINTABLE, escapeOf);
}

function escapeOf(character: string): string {
  return "\\u" + character.charCodeAt(0).toString(16).padStart(4, "0");
}
