/**
 * What every stand-in does as a process: say that it is ready, stop on a signal.
 *
 * @module
 */
import process from "node:process";

/** Something that can be closed. */
export interface Closable {
  close(): Promise<void>;
}

/** Prints the line that says where the process listens. */
export function announce(fields: Readonly<Record<string, string>>): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`listening ${pairs.join(" ")}\n`);
}

/** Closes `closable` and exits on SIGTERM and SIGINT. */
export function stopOnSignal(closable: Closable): void {
  const stop = () => void closable.close().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

/** Parses a whole number given on the command line. */
export function wholeNumber(text: string): number {
  const number = Number(text);
  if (Number.isInteger(number)) return number;
  throw new TypeError(`not a whole number: ${text}`);
}
