import test from "ava";
import { LostAnswers } from "./looks.ts";

test("reports are asked for more often while answers are being lost", (t) => {
  const lost = new LostAnswers();
  const calmMs = lost.waitMs(0);
  lost.note(1_000);
  t.true(lost.waitMs(1_100) <= calmMs / 4);
  t.true(lost.waitMs(3_500) <= calmMs / 4);
  t.is(lost.waitMs(60_000), calmMs);
});
