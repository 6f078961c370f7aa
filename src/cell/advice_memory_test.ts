import test from "ava";
import { ManualClock } from "../clock.ts";
import { AdviceMemory } from "./advice_memory.ts";

test("answers are remembered by step, with the age of their tickets", async (t) => {
  const clock = new ManualClock();
  const memory = new AdviceMemory(clock);
  memory.note("a.0.0", ["w1", "w2"], new Map([["w2", "t2"]]));
  await clock.run(300);
  memory.note("a.0.0", ["w3"], new Map([["w3", "t3"]]));
  t.deepEqual(memory.recall(["a.0.0", "b.0.0"]), [{
    step: "a.0.0",
    bad: ["w1"],
    good: [
      { worker: "w2", ticket: "t2", ageMs: 300 },
      { worker: "w3", ticket: "t3", ageMs: 0 },
    ],
  }]);
});

test("the oldest steps are forgotten", (t) => {
  const memory = new AdviceMemory(new ManualClock());
  for (let number = 0; number < 300; number++) {
    memory.note(`job${number}.0.0`, ["w1"], new Map());
  }
  t.deepEqual(memory.recall(["job0.0.0"]), []);
  t.is(memory.recall(["job299.0.0"]).length, 1);
});
