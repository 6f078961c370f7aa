/**
 * Reads bodies of callers within bounds.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Largest body of one request. */
export const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
/** Largest sum of bodies that are held at once. */
export const BODIES_LIMIT_BYTES = 128 * 1024 * 1024;

/** Leaves the connection open for the refusal when reading stops early. */
const KEEP_OPEN = { destroyOnReturn: false };

/** Why a body was not read. */
export type BodyFailure =
  | {
    readonly type: "tooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  | { readonly type: "callerGone"; readonly message: string };

/** Memory for the bodies that are held at once. */
export class BodyMemory {
  #heldBytes = 0;

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Reads a body; the caller calls {@linkcode free} with its length when it is done. */
  async read(message: IncomingMessage): Promise<Result<Buffer, BodyFailure>> {
    const declared = Number(message.headers["content-length"] ?? 0);
    if (declared > BODY_LIMIT_BYTES) return tooLarge(BODY_LIMIT_BYTES);
    const chunks: Buffer[] = [];
    let length = 0;
    try {
      for await (const chunk of message.iterator(KEEP_OPEN)) {
        length += (chunk as Buffer).length;
        this.#heldBytes += (chunk as Buffer).length;
        const fault = this.#fault(length);
        if (fault !== undefined) {
          this.free(length);
          return fault;
        }
        chunks.push(chunk as Buffer);
      }
    } catch {
      this.free(length);
      return err({ type: "callerGone", message: "the caller went away" });
    }
    return ok(Buffer.concat(chunks, length));
  }

  /** Gives memory back. */
  free(bytes: number): void {
    this.#heldBytes -= bytes;
  }

  #fault(length: number): Result<Buffer, BodyFailure> | undefined {
    if (length > BODY_LIMIT_BYTES) return tooLarge(BODY_LIMIT_BYTES);
    if (this.#heldBytes > BODIES_LIMIT_BYTES) {
      return tooLarge(BODIES_LIMIT_BYTES);
    }
    return undefined;
  }
}

function tooLarge(limitBytes: number): Result<Buffer, BodyFailure> {
  const message = `the body is larger than ${limitBytes} bytes`;
  return err({ type: "tooLarge", message, limitBytes });
}
