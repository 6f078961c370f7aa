/**
 * Structured log: one line of key=value pairs for each event.
 *
 * @module
 */
import process from "node:process";
import { type ILogObjMeta, Logger as TsLogger } from "tslog";

/** Log levels by increasing severity; the values are those of tslog. */
export const logLevels = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
} as const;

/** Name of a log level. */
export type LogLevel = keyof typeof logLevels;

/** Fields of an event. Clients' API keys and request bodies must never be logged. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events at one of four levels. */
export interface Log {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

/** A log that discards all events. */
export const silentLog: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** Formats an event as one line, without the newline. */
export function formatLine(event: string, fields: Fields): string {
  let line = `event=${event}`;
  for (const name in fields) {
    const value = fields[name];
    if (value !== undefined) line += ` ${name}=${formatValue(String(value))}`;
  }
  return line;
}

/** Receives formatted lines. */
export type WriteLine = (event: string, line: string) => void;

/** A formatted line, with the name of its event. */
interface Line {
  readonly event: string;
  readonly line: string;
}

/** Creates a log that writes to standard error, or to `writeLine`. The fields of `common` are part of every line. */
export function openLog(
  level: LogLevel,
  common: Fields,
  writeLine: WriteLine = (_event, line) =>
    void process.stderr.write(line + "\n"),
): Log {
  const logger = new TsLogger<Line>({
    type: "hidden",
    minLevel: logLevels[level],
    // Finding the position of the log call would take a stack trace for each line.
    hideLogPositionForProduction: true,
    // Keeps tslog from copying each record and adding metadata, which would cost more than formatting the line.
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

/** Control characters and line separators that JSON does not escape. */
const CONTROL_CHARACTERS = /[\u007f-\u009f\u2028\u2029]/g;

function formatValue(value: string): string {
  if (/^[\w./:@+-]+$/.test(value)) return value;
  return JSON.stringify(value).replace(CONTROL_CHARACTERS, escapeCharacter);
}

function escapeCharacter(character: string): string {
  return "\\u" + character.charCodeAt(0).toString(16).padStart(4, "0");
}
