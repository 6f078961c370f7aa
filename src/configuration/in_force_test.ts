import test from "ava";
import { ManualClock } from "../clock.ts";
import { silentLog } from "../logger.ts";
import type { Publication } from "../operator_set.ts";
import { headOf } from "./head.ts";
import { InForce } from "./in_force.ts";

function publication(number: number, text = "[team a]"): Publication {
  const publishId = `id-${number}-${text}`;
  return { number, publishId, operator: "ana", at: "", text };
}

function inForce(number: number) {
  const clock = new ManualClock();
  const held = new InForce({ clock, log: silentLog });
  held.apply(publication(number));
  return { clock, held };
}

const cases = [
  { name: "lower", number: 4, applied: false },
  { name: "same", number: 5, applied: false },
  { name: "next", number: 6, applied: true },
  { name: "far ahead", number: 60, applied: true },
];

for (const { name, number, applied } of cases) {
  test(`${name} number`, (t) => {
    const { held } = inForce(5);
    const later = publication(number, "[team b]");
    t.is(held.wants(headOf(later)), applied);
    t.is(held.apply(later), applied);
    t.is(held.number(), applied ? number : 5);
    t.is(held.current()?.set.teams.has("b"), applied);
  });
}

test("a refused text is not wanted again", (t) => {
  const { held } = inForce(5);
  const bad = publication(6, "[nonsense]");
  t.false(held.apply(bad));
  t.false(held.wants(headOf(bad)));
  t.true(held.wants(headOf(publication(7))));
});

const heads = [
  { name: "of what is in force", head: publication(5), confirms: true },
  { name: "of an earlier number", head: publication(4), confirms: false },
  { name: "of a later number", head: publication(6), confirms: false },
  {
    name: "of another text",
    head: publication(5, "[team b]"),
    confirms: false,
  },
];

for (const { name, head, confirms } of heads) {
  test(`head ${name}`, (t) => {
    const { clock, held } = inForce(5);
    t.is(held.ageMs(), Infinity);
    clock.advance(100);
    held.confirm(headOf(head), 40);
    t.is(held.ageMs(), confirms ? 60 : Infinity);
    held.confirm(headOf(head), 10);
    t.is(held.ageMs(), confirms ? 60 : Infinity);
  });
}
