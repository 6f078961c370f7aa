import test from "ava";
import type { Key, OperatorSet } from "../operator_set.ts";
import { issueKey, type KeyFailure, verifyKey } from "./keys.ts";
import { emptySet } from "./parse.ts";

function setWith(key: Key): OperatorSet {
  return { ...emptySet(), keys: new Map([[key.name, key]]) };
}

test("an issued key verifies", (t) => {
  const { key, presented } = issueKey("till", "shop");
  const found = verifyKey(setWith(key), presented)._unsafeUnwrap();
  t.is(found.team, "shop");
  t.false(JSON.stringify(key).includes(presented.split(".")[1]!));
});

test("two keys share neither salt nor secret", (t) => {
  const a = issueKey("till", "shop");
  const b = issueKey("till", "shop");
  t.not(a.key.salt, b.key.salt);
  t.not(a.presented, b.presented);
});

const { key, presented } = issueKey("till", "shop");

interface Refusal {
  readonly name: string;
  readonly set: OperatorSet;
  readonly presented: string;
  readonly type: KeyFailure["type"];
}

const refusals: readonly Refusal[] = [
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

for (const refusal of refusals) {
  test(`refuses: ${refusal.name}`, (t) => {
    const failure = verifyKey(refusal.set, refusal.presented)
      ._unsafeUnwrapErr();
    t.is(failure.type, refusal.type);
    t.false(failure.message.includes("till"));
  });
}
