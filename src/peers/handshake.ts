/**
 * Mutual challenge-response authentication between two instances, with a check
 * that both use the same protocol version:
 *
 * 1. The listener sends its version and a challenge ({@linkcode Challenge}).
 * 2. The client sends its proof and a challenge of its own ({@linkcode Hello}).
 * 3. The listener sends its proof ({@linkcode Welcome}).
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as t from "io-ts";

/** Version of the protocol between instances. */
export const PROTOCOL_VERSION = 3;

const CHALLENGE_BYTES = 16;

/** First message, sent by the listener. */
export const Challenge = t.type({ version: t.number, challenge: t.string });

/** Second message, sent by the client. `to` is the instance that it expects to reach. */
export const Hello = t.type({
  version: t.number,
  id: t.string,
  to: t.string,
  proof: t.string,
  challenge: t.string,
});

/** Third message, sent by the listener. */
export const Welcome = t.type({ id: t.string, proof: t.string });

/** Creates a random challenge, in hex. */
export function newChallenge(): string {
  return randomBytes(CHALLENGE_BYTES).toString("hex");
}

/**
 * Computes the proof of knowing `key`: HMAC-SHA256, in hex, over a challenge
 * and the instance ids that the proof is bound to.
 */
export function prove(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key).update(parts.join("\n")).digest("hex");
}

/** Compares two proofs in constant time. */
export function equalInConstantTime(a: string, b: string): boolean {
  const left = new TextEncoder().encode(a);
  const right = new TextEncoder().encode(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Decodes a value with a codec. Returns `undefined` if it does not match. A value
 * that already passes the type guard is returned unchanged, because `is` takes a
 * fraction of the time of `decode`.
 */
export function decode<T>(codec: t.Type<T>, value: unknown): T | undefined {
  if (codec.is(value)) return value;
  const decoded = codec.decode(value);
  return either.isRight(decoded) ? decoded.right : undefined;
}
