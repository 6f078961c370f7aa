import test from "ava";
import { reportValue } from "./report.ts";

const free = { cpuMillis: 1500, memoryMib: 2048, accelerators: 0, slots: 8 };
const odd = { cpuMillis: 0, memoryMib: 100, accelerators: 2, slots: 0 };

const cases = [
  { name: "text", value: "a", text: "a" },
  { name: "fields", value: { a: 1, b: true }, text: "a: 1\nb: true" },
  { name: "nothing", value: { a: null, b: undefined }, text: "a: -\nb: -" },
  { name: "no rows", value: [], text: "none" },
  {
    name: "rows",
    value: [{ id: "w1", at: 1 }, { id: "worker-2", why: ["x", "y"] }],
    text: "ID        AT  WHY\nw1        1   -\nworker-2  -   x, y",
  },
  {
    name: "rows in a field",
    value: { works: [{ id: "w1" }], more: [] },
    text: "works:\nID\nw1\nmore: -",
  },
  {
    name: "resources",
    value: { free, odd },
    text: "free: cpu=1.5 memory=2GiB slots=8\n" +
      "odd: cpu=0 memory=100MiB accelerators=2 slots=0",
  },
  {
    name: "records in a cell",
    value: [{ facts: { a: 1, b: "x" } }],
    text: "FACTS\na=1 b=x",
  },
];

for (const { name, value, text } of cases) {
  test(`formats ${name}`, (t) => {
    t.is(reportValue(value).text, text);
    t.is(reportValue(value).json, value);
  });
}
