/**
 * API keys of teams. The operator set stores only a salted hash of each secret;
 * the secret itself is shown once, when the key is issued. Callers present
 * `name.secret`, so that the entry can be looked up by name.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Key, OperatorSet } from "../operator_set.ts";

const SECRET_BYTES = 32;
const SALT_BYTES = 16;

/** A new key. Its secret is part of `presented` and is not stored. */
export interface IssuedKey {
  /** The entry for the operator set. */
  readonly key: Key;
  /** What callers present: `name.secret`. */
  readonly presented: string;
}

/** Why a presented key is rejected. */
export type KeyFailure =
  /** No key has this name, or the secret does not match. */
  | { readonly type: "unknownKey"; readonly message: string }
  /** The secret matches, but the operators have withdrawn the key. */
  | {
    readonly type: "withdrawnKey";
    readonly message: string;
    /** Name of the key. */
    readonly key: string;
  };

const unknownKey: KeyFailure = {
  type: "unknownKey",
  message: "unknown key",
};

/** Creates a key for a team with a random secret and salt. */
export function issueKey(name: string, team: string): IssuedKey {
  const secret = randomBytes(SECRET_BYTES).toString("base64url");
  const salt = randomBytes(SALT_BYTES).toString("hex");
  const hash = hashSecret(secret, salt).toString("hex");
  return {
    key: { name, team, salt, hash, withdrawn: false },
    presented: `${name}.${secret}`,
  };
}

/**
 * Looks up the entry of a presented key (`name.secret`) and compares the secret
 * in constant time. An unknown name and a wrong secret give the same failure, also
 * for a withdrawn key.
 */
export function verifyKey(
  set: OperatorSet,
  presented: string,
): Result<Key, KeyFailure> {
  const dot = presented.indexOf(".");
  const name = presented.slice(0, Math.max(0, dot));
  const key = set.keys.get(name);
  if (key === undefined) return err(unknownKey);
  if (!secretMatches(key, presented.slice(dot + 1))) return err(unknownKey);
  if (!key.withdrawn) return ok(key);
  const message = "the key has been withdrawn";
  return err({ type: "withdrawnKey", message, key: key.name });
}

function secretMatches(key: Key, secret: string): boolean {
  const expected = Buffer.from(key.hash, "hex");
  const actual = hashSecret(secret, key.salt);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function hashSecret(secret: string, salt: string): Buffer {
  return createHash("sha256")
    .update(Buffer.from(salt, "hex"))
    .update(secret)
    .digest();
}
