import test from "ava";
import {
  addObject,
  baseOf,
  removeObjects,
  setField,
  withBase,
  withoutBase,
} from "./set_edit.ts";

const TEXT = `; first
[drain a]
; about a
worker = a

; about b
[drain b]
worker = b
`;

test("removes an object and leaves the comments of the next", (t) => {
  const text = removeObjects(TEXT, ["drain a"]);
  t.is(text, "; first\n; about b\n[drain b]\nworker = b\n");
});

test("removes the last object", (t) => {
  const text = removeObjects(TEXT, ["drain b"]);
  t.is(text, "; first\n[drain a]\n; about a\nworker = a\n\n; about b\n");
});

test("removes nothing that is not there", (t) => {
  t.is(removeObjects(TEXT, ["drain c"]), TEXT);
});

test("sets a field that is written and one that is not", (t) => {
  const changed = setField(TEXT, "drain b", { field: ["worker", "c"] });
  t.true(changed.endsWith("[drain b]\nworker = c\n"));
  const added = setField(TEXT, "drain b", { field: ["x", "y"] });
  t.true(added.endsWith("[drain b]\nx = y\nworker = b\n"));
});

const ends = ["", "[team a]", "[team a]\n", "[team a]\n\n"];

for (const text of ends) {
  test(`adds after ${JSON.stringify(text)}`, (t) => {
    const added = addObject(text, "team b", { fields: [["account", "x"]] });
    const before = text === "" ? "" : "[team a]\n\n";
    t.is(added, `${before}[team b]\naccount = x\n`);
  });
}

test("the base is written once", (t) => {
  const copy = withBase(withBase(TEXT, 3), 4);
  t.is(baseOf(copy), 4);
  t.is(withoutBase(copy), TEXT);
  t.is(baseOf(TEXT), undefined);
});
