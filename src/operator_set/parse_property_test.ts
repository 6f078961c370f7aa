import test from "ava";
import fc from "fast-check";
import { readSettings } from "../config.ts";
import { sectionKinds } from "./schemas.ts";
import { parseOperatorSet } from "./parse.ts";

const token = fc.constantFrom(
  ...sectionKinds,
  "a",
  "__proto__",
  "constructor",
  "kind",
  "cpu",
  "=",
  "[",
  "]",
  '"',
  "'",
  ";",
  "\\",
  "\n",
  " ",
  "5s",
  "-1",
);

const text = fc.array(token, { maxLength: 40 }).map((words) => words.join(""));

test("any text gives a set or problems with line numbers", (t) => {
  fc.assert(fc.property(fc.oneof(text, fc.string()), (input) => {
    const lines = input.split(/\r?\n/).length;
    parseOperatorSet(input, { file: "f" }).mapErr((problems) => {
      t.true(problems.length > 0);
      for (const { line } of problems) t.true(line >= 1 && line <= lines);
    });
    t.true(readSettings(input, { file: "f" }).isErr());
  }));
});
