import test from "ava";
import { ManualClock } from "../clock.ts";
import { AdviceCache } from "./advice_cache.ts";

test("advice is cached by step, with the age of the tickets", async (t) => {
  const clock = new ManualClock();
  const cache = new AdviceCache(clock);
  cache.add("a.0.0", ["w1", "w2"], new Map([["w2", "t2"]]));
  await clock.run(300);
  cache.add("a.0.0", ["w3"], new Map([["w3", "t3"]]));
  t.deepEqual(cache.lookUp(["a.0.0", "b.0.0"]), [{
    step: "a.0.0",
    bad: ["w1"],
    good: [
      { worker: "w2", ticket: "t2", ageMs: 300 },
      { worker: "w3", ticket: "t3", ageMs: 0 },
    ],
  }]);
});

test("the oldest steps are removed", (t) => {
  const cache = new AdviceCache(new ManualClock());
  for (let number = 0; number < 300; number++) {
    cache.add(`job${number}.0.0`, ["w1"], new Map());
  }
  t.deepEqual(cache.lookUp(["job0.0.0"]), []);
  t.is(cache.lookUp(["job299.0.0"]).length, 1);
});
