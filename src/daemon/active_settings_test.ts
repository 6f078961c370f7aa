import test from "ava";
import { emptySet } from "../operator_set/parse.ts";
import { ActiveSettings } from "./active_settings.ts";

// Guards against new work on the workers of an evacuated zone.
test("a worker is drained by its own drain or by the evacuation of its zone", (t) => {
  const settings = new ActiveSettings();
  t.false(settings.isDrained("w1", "a"));
  settings.activate({
    ...emptySet(),
    drains: new Map([["one", { name: "one", worker: "w1" }]]),
    evacuations: new Map([["b", { name: "b", zone: "b" }]]),
  });
  t.true(settings.isDrained("w1", "a"));
  t.true(settings.isDrained("w2", "b"));
  t.false(settings.isDrained("w2", "a"));
  t.false(settings.isDrained("b", undefined));
});
