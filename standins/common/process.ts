/**
 * Functions shared by the main scripts of the stand-ins: reporting the listening
 * address, shutting down on a signal, parsing arguments.
 *
 * @module
 */
import process from "node:process";

/** Object with an asynchronous shutdown. */
export interface Closable {
  close(): Promise<void>;
}

/** Prints `listening KEY=VALUE ...` on standard output; the testbed waits for this line. */
export function printListeningLine(
  fields: Readonly<Record<string, string>>,
): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`listening ${pairs.join(" ")}\n`);
}

/** On SIGTERM and SIGINT, closes `closable` and exits with code 0. */
export function closeOnSignal(closable: Closable): void {
  const stop = () => void closable.close().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

/** Parses an integer option of the command line. Throws a `TypeError` for any other text. */
export function parseInteger(text: string): number {
  const number = Number(text);
  if (Number.isInteger(number)) return number;
  throw new TypeError(`not an integer: ${text}`);
}
