import test from "ava";
import { StepWaits } from "./step_waits.ts";

test("the time of a wait is told by its reasons", (t) => {
  const waits = new StepWaits();
  waits.begin(1_000);
  waits.note("noRoom", 1_010);
  waits.note("noRoom", 1_050);
  waits.note("advice", 1_100);
  t.is(waits.reason, "advice");
  const told = [...waits.end(1_400)];
  t.deepEqual(told, [["turn", 10], ["noRoom", 90], ["advice", 300]]);
  t.is(waits.reason, undefined);
});

test("a step that waits again begins anew", (t) => {
  const waits = new StepWaits();
  waits.begin(0);
  waits.end(50);
  waits.begin(80);
  t.deepEqual([...waits.end(100)], [["turn", 20]]);
});
