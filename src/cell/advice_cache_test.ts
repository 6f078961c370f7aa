import test from "ava";
import { ManualClock } from "../clock.ts";
import { AdviceCache } from "./advice_cache.ts";
import type { WorkerProcess } from "./verdicts.ts";

function processOf(id: string): WorkerProcess {
  return { id, processStartMs: 1 };
}

test("advice is cached by step, with the age of the tickets", async (t) => {
  const clock = new ManualClock();
  const cache = new AdviceCache(clock);
  const [w1, w2, w3] = ["w1", "w2", "w3"].map(processOf);
  cache.add("a.0.0", [w1!, w2!], new Map([["w2", "t2"]]));
  await clock.run(300);
  cache.add("a.0.0", [w3!], new Map([["w3", "t3"]]));
  t.deepEqual(cache.lookUp(["a.0.0", "b.0.0"]), [{
    step: "a.0.0",
    bad: [w1],
    good: [
      { worker: w2, ticket: "t2", ageMs: 300 },
      { worker: w3, ticket: "t3", ageMs: 0 },
    ],
  }]);
});

test("an answer about a worker's next process replaces the former one", (t) => {
  const cache = new AdviceCache(new ManualClock());
  const next = { id: "w1", processStartMs: 2 };
  cache.add("a.0.0", [processOf("w1")], new Map());
  cache.add("a.0.0", [next], new Map([["w1", "ticket"]]));
  const good = [{ worker: next, ticket: "ticket", ageMs: 0 }];
  t.deepEqual(cache.lookUp(["a.0.0"]), [{ step: "a.0.0", bad: [], good }]);
  cache.add("a.0.0", [next], new Map());
  t.deepEqual(cache.lookUp(["a.0.0"]), [
    { step: "a.0.0", bad: [next], good: [] },
  ]);
});

test("the oldest steps are removed", (t) => {
  const cache = new AdviceCache(new ManualClock());
  for (let number = 0; number < 300; number++) {
    cache.add(`job${number}.0.0`, [processOf("w1")], new Map());
  }
  t.deepEqual(cache.lookUp(["job0.0.0"]), []);
  t.is(cache.lookUp(["job299.0.0"]).length, 1);
});
