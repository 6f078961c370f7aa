/**
 * Team keys. The set keeps a salted hash; the secret is shown once when the
 * key is issued. A presented key is `name.secret`, so that its entry is found
 * by name.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Key, OperatorSet } from "../operator_set.ts";

const SECRET_BYTES = 32;
const SALT_BYTES = 16;

/** A new key with its secret, which is kept nowhere. */
export interface IssuedKey {
  readonly key: Key;
  /** What callers present: `name.secret`. */
  readonly presented: string;
}

/** Why a presented key lets no work in. */
export type KeyFailure =
  | { readonly type: "unknownKey"; readonly message: string }
  | {
    readonly type: "withdrawnKey";
    readonly message: string;
    readonly key: string;
  };

const unknownKey: KeyFailure = {
  type: "unknownKey",
  message: "the key is not known",
};

/** Makes a key for a team. */
export function issueKey(name: string, team: string): IssuedKey {
  const secret = randomBytes(SECRET_BYTES).toString("base64url");
  const salt = randomBytes(SALT_BYTES).toString("hex");
  const hash = hashSecret(secret, salt).toString("hex");
  return {
    key: { name, team, salt, hash, withdrawn: false },
    presented: `${name}.${secret}`,
  };
}

/** Finds the entry of a presented key and checks the secret in constant time. */
export function verifyKey(
  set: OperatorSet,
  presented: string,
): Result<Key, KeyFailure> {
  const dot = presented.indexOf(".");
  const name = presented.slice(0, Math.max(0, dot));
  const key = set.keys.get(name);
  if (key === undefined) return err(unknownKey);
  if (!matches(key, presented.slice(dot + 1))) return err(unknownKey);
  if (!key.withdrawn) return ok(key);
  const message = "the key has been withdrawn";
  return err({ type: "withdrawnKey", message, key: key.name });
}

function matches(key: Key, secret: string): boolean {
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
