/**
 * Writes log lines without ever waiting for their reader.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type Clock, systemClock } from "../clock.ts";

/** Lines that wait for the reader; more are dropped, bytes. */
const MAX_BACKLOG_BYTES = 512 * 1024;
/** Lines of one event in a second; more are dropped. */
const MAX_LINES_PER_EVENT = 400;
/** Length of the window of that budget, milliseconds. */
const WINDOW_MS = 1_000;

/** Lines gather for so long before the next write, milliseconds: each costs a call of the system and two changes of thread. */
const GATHER_MS = 20;

/** A full pipe is tried again after this, milliseconds. */
const FULL_PIPE_MS = 5;

/** Writes all of a text to a file descriptor, or gives the error. */
export type WriteDescriptor = (
  text: string,
  done: (error: Error | null) => void,
) => void;

/** {@linkcode write} of `node:fs`: it may write a part. */
export type WritePart = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A bounded queue of lines in front of a descriptor. */
export class LineSink {
  readonly #write: WriteDescriptor;
  readonly #now: () => number;
  readonly #after: Clock["after"];
  #writtenMs = -Infinity;
  #backlog: string[] = [];
  #backlogBytes = 0;
  #writing = false;
  #dropped = 0;
  #windowMs = 0;
  readonly #counts = new Map<string, number>();

  /** `now`: monotonic milliseconds. */
  constructor(
    write: WriteDescriptor,
    now: () => number,
    after: Clock["after"] = (delayMs, action) =>
      systemClock.after(delayMs, action),
  ) {
    this.#write = write;
    this.#now = now;
    this.#after = after;
  }

  /** Lines that were dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line of an event; drops it if its budget or the backlog is full. */
  push(event: string, line: string): void {
    if (!this.#withinBudget(event)) return;
    if (this.#backlogBytes + line.length > MAX_BACKLOG_BYTES) {
      this.#dropped++;
      return;
    }
    this.#backlog.push(line);
    this.#backlogBytes += line.length;
    if (!this.#writing) this.#flush();
  }

  #withinBudget(event: string): boolean {
    const now = this.#now();
    if (now - this.#windowMs >= WINDOW_MS) {
      this.#windowMs = now;
      this.#tellExcess();
      this.#counts.clear();
    }
    const count = (this.#counts.get(event) ?? 0) + 1;
    this.#counts.set(event, count);
    if (count <= MAX_LINES_PER_EVENT) return true;
    this.#dropped++;
    return false;
  }

  #tellExcess(): void {
    for (const [event, count] of this.#counts) {
      if (count <= MAX_LINES_PER_EVENT) continue;
      const left = count - MAX_LINES_PER_EVENT;
      this.#backlog.push(`event=log.dropped of=${event} lines=${left}`);
    }
  }

  #flush(): void {
    if (this.#backlog.length === 0) return;
    const waitMs = this.#writtenMs + GATHER_MS - this.#now();
    if (waitMs > 0) {
      this.#writing = true;
      this.#after(waitMs, () => {
        this.#writing = false;
        this.#flush();
      });
      return;
    }
    this.#writtenMs = this.#now();
    const text = this.#backlog.join("\n") + "\n";
    this.#backlog = [];
    this.#backlogBytes = 0;
    this.#writing = true;
    this.#write(text, (error) => {
      this.#writing = false;
      // Nobody reads the log any more: there is nowhere to tell it.
      if (error !== null) this.#dropped++;
      this.#flush();
    });
  }
}

/** Writes to a descriptor of this process from a thread of the runtime. */
export function descriptorWriter(descriptor: number): WriteDescriptor {
  return wholeWriter((bytes, done) => write(descriptor, bytes, done));
}

/** Writes part after part until all is written; a reader that is slow is waited for. */
export function wholeWriter(
  writePart: WritePart,
  clock: Clock = systemClock,
): WriteDescriptor {
  const writeAll = (bytes: Buffer, done: (error: Error | null) => void) =>
    writePart(bytes, (error, written) => {
      if (error?.code === "EAGAIN") {
        clock.after(FULL_PIPE_MS, () => writeAll(bytes, done));
      } else if (error !== null || written >= bytes.length) done(error);
      else writeAll(bytes.subarray(written), done);
    });
  return (text, done) => writeAll(Buffer.from(text), done);
}
