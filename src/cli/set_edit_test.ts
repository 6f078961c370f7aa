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

test("removes an object and preserves the comment before the next one", (t) => {
  const text = removeObjects(TEXT, ["drain a"]);
  t.is(text, "; first\n; about b\n[drain b]\nworker = b\n");
});

test("removes the last object", (t) => {
  const text = removeObjects(TEXT, ["drain b"]);
  t.is(text, "; first\n[drain a]\n; about a\nworker = a\n\n; about b\n");
});

test("leaves the text unchanged if the object to remove is absent", (t) => {
  t.is(removeObjects(TEXT, ["drain c"]), TEXT);
});

test("replaces a field that is present and inserts one that is absent", (t) => {
  const changed = setField(TEXT, "drain b", { field: ["worker", "c"] });
  t.true(changed.endsWith("[drain b]\nworker = c\n"));
  const added = setField(TEXT, "drain b", { field: ["x", "y"] });
  t.true(added.endsWith("[drain b]\nx = y\nworker = b\n"));
});

const precedingTexts = ["", "[team a]", "[team a]\n", "[team a]\n\n"];

for (const text of precedingTexts) {
  test(`adds an object after ${JSON.stringify(text)}`, (t) => {
    const added = addObject(text, "team b", { fields: [["account", "x"]] });
    const before = text === "" ? "" : "[team a]\n\n";
    t.is(added, `${before}[team b]\naccount = x\n`);
  });
}

test("a new base replaces the earlier one", (t) => {
  const copy = withBase(withBase(TEXT, 3), 4);
  t.is(baseOf(copy), 4);
  t.is(withoutBase(copy), TEXT);
  t.is(baseOf(TEXT), undefined);
});
