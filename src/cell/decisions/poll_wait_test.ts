import test from "ava";
import { PollWait } from "./poll_wait.ts";

test("workers are polled more often while responses are being lost", (t) => {
  const pollWait = new PollWait();
  const normalMs = pollWait.waitMs(0);
  pollWait.recordLoss(1_000);
  t.true(pollWait.waitMs(1_100) <= normalMs / 4);
  t.true(pollWait.waitMs(3_500) <= normalMs / 4);
  t.is(pollWait.waitMs(60_000), normalMs);
});
