import test from "ava";
import { LostAnswers } from "./looks.ts";

test("workers are polled more often while responses are being lost", (t) => {
  const pollWait = new LostAnswers();
  const normalMs = pollWait.waitMs(0);
  pollWait.note(1_000);
  t.true(pollWait.waitMs(1_100) <= normalMs / 4);
  t.true(pollWait.waitMs(3_500) <= normalMs / 4);
  t.is(pollWait.waitMs(60_000), normalMs);
});
