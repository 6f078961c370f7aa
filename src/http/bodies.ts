/**
 * Reads the bodies of callers' requests within memory limits.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Maximum size of the body of one request. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Maximum total size of the bodies in memory. */
export const MAX_BODIES_BYTES = 128 * 1024 * 1024;

/** Keeps the connection open for the answer when reading stops early. */
const KEEP_OPEN = { destroyOnReturn: false };

/** Reason why a body could not be read. */
export type BodyFailure =
  | {
    readonly type: "tooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  | { readonly type: "callerGone"; readonly message: string };

/** Reads bodies and accounts for the memory that they use. */
export class BodyMemory {
  #usedBytes = 0;

  /** Bytes in use. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Reads a body. When done with it, the caller has to release its length with {@linkcode free}. */
  async read(message: IncomingMessage): Promise<Result<Buffer, BodyFailure>> {
    const declaredBytes = Number(message.headers["content-length"] ?? 0);
    if (declaredBytes > MAX_BODY_BYTES) return tooLarge(MAX_BODY_BYTES);
    const chunks: Buffer[] = [];
    let length = 0;
    try {
      for await (const chunk of message.iterator(KEEP_OPEN)) {
        length += (chunk as Buffer).length;
        this.#usedBytes += (chunk as Buffer).length;
        const failure = this.#limitFailure(length);
        if (failure !== undefined) {
          this.free(length);
          return failure;
        }
        chunks.push(chunk as Buffer);
      }
    } catch {
      this.free(length);
      return err({ type: "callerGone", message: "the caller disconnected" });
    }
    return ok(Buffer.concat(chunks, length));
  }

  /** Releases the memory of a body. */
  free(bytes: number): void {
    this.#usedBytes -= bytes;
  }

  #limitFailure(length: number): Result<Buffer, BodyFailure> | undefined {
    if (length > MAX_BODY_BYTES) return tooLarge(MAX_BODY_BYTES);
    if (this.#usedBytes > MAX_BODIES_BYTES) {
      return tooLarge(MAX_BODIES_BYTES);
    }
    return undefined;
  }
}

function tooLarge(limitBytes: number): Result<Buffer, BodyFailure> {
  const message = `the body is larger than ${limitBytes} bytes`;
  return err({ type: "tooLarge", message, limitBytes });
}
