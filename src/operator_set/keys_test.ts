import test from "ava";
import type { Key, OperatorSet } from "../operator_set.ts";
import { issueKey, type KeyFailure, verifyKey } from "./keys.ts";
import { emptySet } from "./parse.ts";

function setWith(key: Key): OperatorSet {
  return { ...emptySet(), keys: new Map([[key.name, key]]) };
}

test("an issued key is valid, and its entry does not contain the secret", (t) => {
  const { key, presented } = issueKey("till", "shop");
  const found = verifyKey(setWith(key), presented)._unsafeUnwrap();
  t.is(found.team, "shop");
  t.false(JSON.stringify(key).includes(presented.split(".")[1]!));
});

test("two issued keys have different salts and secrets", (t) => {
  const a = issueKey("till", "shop");
  const b = issueKey("till", "shop");
  t.not(a.key.salt, b.key.salt);
  t.not(a.presented, b.presented);
});

const { key, presented } = issueKey("till", "shop");

interface RejectedKey {
  readonly name: string;
  readonly set: OperatorSet;
  readonly presented: string;
  readonly type: KeyFailure["type"];
}

const REJECTED_KEYS: readonly RejectedKey[] = [
  { name: "empty", set: setWith(key), presented: "", type: "unknownKey" },
  { name: "no dot", set: setWith(key), presented: "till", type: "unknownKey" },
  {
    name: "no secret",
    set: setWith(key),
    presented: "till.",
    type: "unknownKey",
  },
  {
    name: "wrong secret",
    set: setWith(key),
    presented: `${presented}x`,
    type: "unknownKey",
  },
  {
    name: "other name",
    set: setWith(key),
    presented: presented.replace("till", "tall"),
    type: "unknownKey",
  },
  { name: "removed", set: emptySet(), presented, type: "unknownKey" },
  {
    name: "withdrawn",
    set: setWith({ ...key, withdrawn: true }),
    presented,
    type: "withdrawnKey",
  },
  {
    name: "withdrawn with a wrong secret",
    set: setWith({ ...key, withdrawn: true }),
    presented: "till.guess",
    type: "unknownKey",
  },
  {
    name: "short hash",
    set: setWith({ ...key, hash: "00" }),
    presented,
    type: "unknownKey",
  },
];

for (const rejected of REJECTED_KEYS) {
  test(`rejects a key: ${rejected.name}`, (t) => {
    const failure = verifyKey(rejected.set, rejected.presented)
      ._unsafeUnwrapErr();
    t.is(failure.type, rejected.type);
    t.false(failure.message.includes("till"));
  });
}
