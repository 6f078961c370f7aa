/**
 * Reads the bodies of clients' requests within memory limits.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { setImmediate } from "node:timers";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../clock.ts";

/** Maximum size of the body of one request. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Maximum total size of the bodies in memory. */
export const MAX_BODIES_BYTES = 128 * 1024 * 1024;

/** Number of chunks from which a body of small chunks counts as fragmented: reading one takes about as long as answering a request. */
const FRAGMENTED_CHUNKS = 8_192;
/** Mean size of a chunk below which it counts as small, bytes. */
const SMALL_CHUNK_BYTES = 64;
/** Time for which the rest of a body that was given up is discarded before its connection is closed, milliseconds: the caller may read the response first. */
const DISCARD_TIMEOUT_MS = 5_000;

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Reason why a body could not be read. */
export type BodyFailure =
  | {
    readonly type: "tooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  /** The bodies of all requests together take too much memory. */
  | { readonly type: "overloaded"; readonly message: string }
  /** The caller did not send the whole body in time. */
  | { readonly type: "tooSlow"; readonly message: string }
  | { readonly type: "callerGone"; readonly message: string };

/** A body that has been read. It counts towards the memory limit until it is freed. */
export interface Body {
  readonly bytes: Buffer;
  /** Changes the memory that the request is charged for; `false` if there is not enough, and the charge stays. */
  readonly charge: (bytes: number) => boolean;
  readonly free: () => void;
}

/** Clock and limits of a {@linkcode BodyMemory}. */
export interface BodyMemoryOptions {
  readonly clock: Clock;
  /** Maximum size of a body, bytes; default: {@linkcode MAX_BODY_BYTES}. */
  readonly maxBodyBytes?: () => number;
  /** Maximum total size of the bodies in memory, bytes; default: {@linkcode MAX_BODIES_BYTES}. */
  readonly maxTotalBytes?: number;
}

/**
 * Reads bodies and accounts for the memory that they use.
 *
 * When the memory is used up, the body that has been read for the longest gives
 * way: a client that sends its body at once is hardly ever that one, however
 * many others stop short of the end of theirs. Only one fragmented body is read
 * at a time, since each chunk takes processor time.
 */
export class BodyMemory {
  readonly #clock: Clock;
  readonly #maxBodyBytes: () => number;
  readonly #maxTotalBytes: number;
  /** Bodies that are being read, the oldest first. */
  readonly #readers = new Set<BodyReader>();
  /** The fragmented body that is being read. */
  #fragmented: BodyReader | undefined;
  #usedBytes = 0;

  constructor(
    {
      clock,
      maxBodyBytes = () => MAX_BODY_BYTES,
      maxTotalBytes = MAX_BODIES_BYTES,
    }: BodyMemoryOptions,
  ) {
    this.#clock = clock;
    this.#maxBodyBytes = maxBodyBytes;
    this.#maxTotalBytes = maxTotalBytes;
  }

  /** Bytes in use. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Reads a body, in at most `timeoutMs` milliseconds. The rest of a body that is given up is discarded. */
  async read(
    message: IncomingMessage,
    { timeoutMs }: { readonly timeoutMs?: number } = {},
  ): Promise<Result<Body, BodyFailure>> {
    const limitBytes = this.#maxBodyBytes();
    const declaredBytes = Number(message.headers["content-length"] ?? 0);
    if (declaredBytes > limitBytes) {
      this.discard(message);
      return tooLarge(limitBytes);
    }
    const reader = new BodyReader(message, {
      limitBytes,
      reserve: (bytes) => this.#reserve(reader, bytes),
      onFragmented: () => this.#admitFragmented(reader),
    });
    this.#readers.add(reader);
    const timer = timeoutMs === undefined
      ? undefined
      : this.#clock.after(timeoutMs, () => reader.fail(TOO_SLOW));
    const result = await reader.result;
    timer?.cancel();
    this.#readers.delete(reader);
    if (this.#fragmented === reader) this.#fragmented = undefined;
    if (result.isOk()) return ok(this.#bodyOf(reader, result.value));
    this.#release(reader);
    this.discard(message);
    return err(result.error);
  }

  /** Discards the rest of a body, and closes the connection if that does not end soon. */
  discard(message: IncomingMessage): void {
    if (message.complete || message.destroyed) return void message.resume();
    const close = () => message.socket.destroy();
    const timer = this.#clock.after(DISCARD_TIMEOUT_MS, close);
    message.once("close", () => timer.cancel());
    let chunks = 0;
    message.on("data", () => {
      if (++chunks === FRAGMENTED_CHUNKS) close();
    });
  }

  /** Reads on with a body that has become fragmented; the one before it gives way. */
  #admitFragmented(reader: BodyReader): void {
    this.#fragmented?.close();
    this.#fragmented = reader;
  }

  #bodyOf(reader: BodyReader, bytes: Buffer): Body {
    return {
      bytes,
      charge: (chargedBytes) => {
        const extraBytes = chargedBytes - reader.reservedBytes;
        if (extraBytes > 0 && !this.#makeRoom(reader, extraBytes)) return false;
        this.#usedBytes += extraBytes;
        reader.reservedBytes = chargedBytes;
        return true;
      },
      free: () => this.#release(reader),
    };
  }

  #release(reader: BodyReader): void {
    this.#usedBytes -= reader.reservedBytes;
    reader.reservedBytes = 0;
  }

  /** Reserves memory for a body that is being read; `false` if the body has given way itself. */
  #reserve(reader: BodyReader, extraBytes: number): boolean {
    if (!this.#makeRoom(reader, extraBytes)) {
      reader.fail(OVERLOADED);
      return false;
    }
    this.#usedBytes += extraBytes;
    reader.reservedBytes += extraBytes;
    return true;
  }

  /** Ends the oldest readers until there is room for more of `reader`'s body. A body that is alone in memory has room in any case. */
  #makeRoom(reader: BodyReader, extraBytes: number): boolean {
    while (
      this.#usedBytes + extraBytes > this.#maxTotalBytes &&
      this.#usedBytes > reader.reservedBytes
    ) {
      const [oldest] = this.#readers;
      if (oldest === undefined || oldest === reader) return false;
      this.#readers.delete(oldest);
      this.#release(oldest);
      oldest.fail(OVERLOADED);
    }
    return true;
  }
}

const OVERLOADED: BodyFailure = {
  type: "overloaded",
  message: "the bodies of all requests take too much memory",
};

/**
 * Collects one body in a single buffer: a chunk of one byte that is kept as it
 * arrives takes several hundred bytes.
 */
class BodyReader {
  /** Memory that the body is charged for. */
  reservedBytes = 0;
  readonly result: Promise<Result<Buffer, BodyFailure>>;
  readonly #message: IncomingMessage;
  readonly #limitBytes: number;
  readonly #reserve: (extraBytes: number) => boolean;
  readonly #onFragmented: () => void;
  #chunks = 0;
  #buffer = NO_BYTES;
  #length = 0;
  #resolve: (result: Result<Buffer, BodyFailure>) => void = () => {};

  constructor(message: IncomingMessage, { limitBytes, reserve, onFragmented }: {
    readonly limitBytes: number;
    /** Reserves more memory; `false` if the body cannot be read any further. */
    readonly reserve: (extraBytes: number) => boolean;
    /** Called when the body has become fragmented. */
    readonly onFragmented: () => void;
  }) {
    this.#message = message;
    this.#onFragmented = onFragmented;
    this.#limitBytes = limitBytes;
    this.#reserve = reserve;
    this.result = new Promise((resolve) => {
      this.#resolve = (result) => {
        message.off("data", onData);
        this.#buffer = NO_BYTES;
        resolve(result);
      };
    });
    const onData = (chunk: Buffer) => this.#append(chunk);
    const onGone = () => this.fail(CALLER_GONE);
    message.on("data", onData);
    message.once("end", () => {
      const bytes = this.#buffer.subarray(0, this.#length);
      this.#resolve(ok(bytes));
    });
    message.once("error", onGone);
    message.once("close", onGone);
  }

  /** Gives the body up, unless it has been read. */
  fail(failure: BodyFailure): void {
    this.#resolve(err(failure));
  }

  /** Gives the body up and closes its connection. */
  close(): void {
    this.#message.socket.destroy();
    this.fail(OVERLOADED);
  }

  #append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    this.#chunks++;
    const areSmall = length < SMALL_CHUNK_BYTES * this.#chunks;
    if (areSmall && this.#chunks === FRAGMENTED_CHUNKS) this.#onFragmented();
    if (areSmall && this.#chunks % FRAGMENTED_CHUNKS === 0) this.#yield();
    if (length > this.#limitBytes) {
      this.#resolve(tooLarge(this.#limitBytes));
      return;
    }
    if (length > this.#buffer.length && !this.#grow(chunk, length)) return;
    if (this.#buffer !== chunk) chunk.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  /** Lets other events be handled: as much as is there of a body is otherwise read at once. */
  #yield(): void {
    this.#message.pause();
    setImmediate(() => this.#message.resume());
  }

  /** Makes room for a chunk, up to `length` bytes. Doubles the size, so that a body is copied a few times at most. */
  #grow(chunk: Buffer, length: number): boolean {
    if (this.#length === 0) {
      if (!this.#reserve(chunk.length)) return false;
      this.#buffer = chunk;
      return true;
    }
    const capacity = Math.min(
      this.#limitBytes,
      Math.max(length, 2 * this.#buffer.length),
    );
    if (!this.#reserve(capacity - this.#buffer.length)) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
    return true;
  }
}

const TOO_SLOW: BodyFailure = {
  type: "tooSlow",
  message: "the body did not arrive in time",
};
const CALLER_GONE: BodyFailure = {
  type: "callerGone",
  message: "the caller disconnected",
};

function tooLarge(limitBytes: number): Result<never, BodyFailure> {
  const message = `the body is larger than ${limitBytes} bytes`;
  return err({ type: "tooLarge", message, limitBytes });
}
