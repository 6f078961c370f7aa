import test from "ava";
import { emptySet } from "../operator_set/parse.ts";
import { SettingsInForce } from "./settings_in_force.ts";

// Guards against workers of an evacuated zone that still get work.
test("a worker is out of use by its own drain or by its zone's", (t) => {
  const settings = new SettingsInForce();
  t.false(settings.drained("w1", "a"));
  settings.replace({
    ...emptySet(),
    drains: new Map([["one", { name: "one", worker: "w1" }]]),
    evacuations: new Map([["b", { name: "b", zone: "b" }]]),
  });
  t.true(settings.drained("w1", "a"));
  t.true(settings.drained("w2", "b"));
  t.false(settings.drained("w2", "a"));
  t.false(settings.drained("b", undefined));
});
