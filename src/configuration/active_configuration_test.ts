import test from "ava";
import { ManualClock } from "../clock.ts";
import { silentLog } from "../logger.ts";
import type { Publication } from "../operator_set.ts";
import { createHead } from "./head.ts";
import { ActiveConfiguration } from "./active_configuration.ts";

function publication(number: number, text = "[team a]"): Publication {
  const publishId = `id-${number}-${text}`;
  return { number, publishId, operator: "ana", at: "", text };
}

function createActive(number: number) {
  const clock = new ManualClock();
  const active = new ActiveConfiguration({ clock, log: silentLog });
  active.apply(publication(number));
  return { clock, active };
}

const cases = [
  { name: "lower", number: 4, applied: false },
  { name: "same", number: 5, applied: false },
  { name: "next", number: 6, applied: true },
  { name: "far ahead", number: 60, applied: true },
];

for (const { name, number, applied } of cases) {
  test(`activation by number: ${name}`, (t) => {
    const { active } = createActive(5);
    const later = publication(number, "[team b]");
    t.is(active.shouldFetch(createHead(later)), applied);
    t.is(active.apply(later), applied);
    t.is(active.number(), applied ? number : 5);
    t.is(active.current()?.set.teams.has("b"), applied);
  });
}

test("a publication with an invalid text is not fetched again", (t) => {
  const { active } = createActive(5);
  const bad = publication(6, "[nonsense]");
  t.false(active.apply(bad));
  t.false(active.shouldFetch(createHead(bad)));
  t.true(active.shouldFetch(createHead(publication(7))));
});

const heads = [
  { name: "of the active publication", head: publication(5), confirms: true },
  { name: "of an earlier number", head: publication(4), confirms: false },
  { name: "of a later number", head: publication(6), confirms: false },
  {
    name: "of another text",
    head: publication(5, "[team b]"),
    confirms: false,
  },
];

for (const { name, head, confirms } of heads) {
  test(`confirmation by a head ${name}`, (t) => {
    const { clock, active } = createActive(5);
    t.is(active.ageMs(), Infinity);
    clock.advance(100);
    active.confirm(createHead(head), 40);
    t.is(active.ageMs(), confirms ? 60 : Infinity);
    active.confirm(createHead(head), 10);
    t.is(active.ageMs(), confirms ? 60 : Infinity);
  });
}
