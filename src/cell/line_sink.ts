/**
 * Writes log lines without blocking the process when their reader is slow.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type Clock, systemClock } from "../clock.ts";

/** Total length of the lines that wait to be written; further lines are dropped. */
const MAX_BACKLOG_BYTES = 512 * 1024;
/** Lines of one event per window; further lines are dropped. */
const MAX_LINES_PER_EVENT = 400;
/** Length of the window of {@linkcode MAX_LINES_PER_EVENT}. */
const EVENT_WINDOW_MS = 1_000;

/** Lines are batched for this time, because each write costs a system call and two thread switches. */
const MIN_WRITE_INTERVAL_MS = 20;

/** Delay before a write to a full pipe is retried. */
const FULL_PIPE_RETRY_DELAY_MS = 5;

/** Writes a text completely to a file descriptor, or reports an error. */
export type WriteDescriptor = (
  text: string,
  done: (error: Error | null) => void,
) => void;

/** {@linkcode write} of `node:fs`, which may write only a part of the bytes. */
export type WritePart = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A bounded queue of log lines that are written to a file descriptor. */
export class LineSink {
  readonly #write: WriteDescriptor;
  readonly #now: () => number;
  readonly #after: Clock["after"];
  #lastWriteMs = -Infinity;
  #backlog: string[] = [];
  #backlogBytes = 0;
  #writePending = false;
  #dropped = 0;
  #windowStartMs = 0;
  readonly #linesByEvent = new Map<string, number>();

  /** `now` returns monotonic milliseconds. */
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

  /** Number of lines dropped since the process started; a failed write counts as one. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line; drops it if the event has used up its budget or the backlog is full. */
  push(event: string, line: string): void {
    if (!this.#withinBudget(event)) return;
    if (this.#backlogBytes + line.length > MAX_BACKLOG_BYTES) {
      this.#dropped++;
      return;
    }
    this.#backlog.push(line);
    this.#backlogBytes += line.length;
    if (!this.#writePending) this.#flush();
  }

  #withinBudget(event: string): boolean {
    const now = this.#now();
    if (now - this.#windowStartMs >= EVENT_WINDOW_MS) {
      this.#windowStartMs = now;
      this.#queueDropNotices();
      this.#linesByEvent.clear();
    }
    const count = (this.#linesByEvent.get(event) ?? 0) + 1;
    this.#linesByEvent.set(event, count);
    if (count <= MAX_LINES_PER_EVENT) return true;
    this.#dropped++;
    return false;
  }

  #queueDropNotices(): void {
    for (const [event, count] of this.#linesByEvent) {
      if (count <= MAX_LINES_PER_EVENT) continue;
      const droppedLines = count - MAX_LINES_PER_EVENT;
      this.#backlog.push(`event=log.dropped of=${event} lines=${droppedLines}`);
    }
  }

  #flush(): void {
    if (this.#backlog.length === 0) return;
    const waitMs = this.#lastWriteMs + MIN_WRITE_INTERVAL_MS - this.#now();
    if (waitMs > 0) {
      this.#writePending = true;
      this.#after(waitMs, () => {
        this.#writePending = false;
        this.#flush();
      });
      return;
    }
    this.#lastWriteMs = this.#now();
    const text = this.#backlog.join("\n") + "\n";
    this.#backlog = [];
    this.#backlogBytes = 0;
    this.#writePending = true;
    this.#write(text, (error) => {
      this.#writePending = false;
      // The log itself can't be written, so the failure can't be logged.
      if (error !== null) this.#dropped++;
      this.#flush();
    });
  }
}

/** Writes to a file descriptor of this process, on the runtime's thread pool. */
export function descriptorWriter(descriptor: number): WriteDescriptor {
  return wholeWriter((bytes, done) => write(descriptor, bytes, done));
}

/** Repeats partial writes until the text is written completely; retries while the pipe is full. */
export function wholeWriter(
  writePart: WritePart,
  clock: Clock = systemClock,
): WriteDescriptor {
  const writeAll = (bytes: Buffer, done: (error: Error | null) => void) =>
    writePart(bytes, (error, written) => {
      if (error?.code === "EAGAIN") {
        clock.after(FULL_PIPE_RETRY_DELAY_MS, () => writeAll(bytes, done));
      } else if (error !== null || written >= bytes.length) done(error);
      else writeAll(bytes.subarray(written), done);
    });
  return (text, done) => writeAll(Buffer.from(text), done);
}
