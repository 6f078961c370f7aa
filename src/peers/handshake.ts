/**
 * Proof that both ends of a link know the peers' key, and that they speak the
 * same version. The listener sends a challenge, the dialler proves and
 * challenges in turn, the listener proves.
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as t from "io-ts";

/** Version of the protocol between instances. */
export const PROTOCOL_VERSION = 3;

const CHALLENGE_BYTES = 16;

/** First line of the listener. */
export const Challenge = t.type({ version: t.number, challenge: t.string });

/** Answer of the dialler. */
export const Hello = t.type({
  version: t.number,
  id: t.string,
  to: t.string,
  proof: t.string,
  challenge: t.string,
});

/** Second line of the listener. */
export const Welcome = t.type({ id: t.string, proof: t.string });

/** A fresh challenge. */
export function newChallenge(): string {
  return randomBytes(CHALLENGE_BYTES).toString("hex");
}

/** Proof that its maker knows `key`, bound to a challenge and an identity. */
export function prove(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key).update(parts.join("\n")).digest("hex");
}

/** Compares proofs in constant time. */
export function sameProof(a: string, b: string): boolean {
  const left = new TextEncoder().encode(a);
  const right = new TextEncoder().encode(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Decodes with a codec; `undefined` if the value does not match. A value that
 * has the shape is taken as it is: a look at it takes a fraction of a decoding.
 */
export function decode<T>(codec: t.Type<T>, value: unknown): T | undefined {
  if (codec.is(value)) return value;
  const decoded = codec.decode(value);
  return either.isRight(decoded) ? decoded.right : undefined;
}
