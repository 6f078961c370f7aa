import test from "ava";
import { StepWaits } from "./step_waits.ts";

test("a wait is split by reason", (t) => {
  const waits = new StepWaits();
  waits.begin(1_000);
  waits.note("noRoom", 1_010);
  waits.note("noRoom", 1_050);
  waits.note("advice", 1_100);
  t.is(waits.reason, "advice");
  const sums = [...waits.end(1_400)];
  t.deepEqual(sums, [["turn", 10], ["noRoom", 90], ["advice", 300]]);
  t.is(waits.reason, undefined);
});

test("a second wait starts from zero", (t) => {
  const waits = new StepWaits();
  waits.begin(0);
  waits.end(50);
  waits.begin(80);
  t.deepEqual([...waits.end(100)], [["turn", 20]]);
});
