import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { AdviceBacklog } from "./advice_backlog.ts";

// Typical requests name 30 workers.
const SLOW = testQueue({
  name: "slow",
  priority: 1,
  advice: { baseMs: 700, perWorkerMs: 10, ticketMs: 1_500 },
});
const MEDIUM = testQueue({
  name: "medium",
  priority: 2,
  advice: { baseMs: 70, perWorkerMs: 1, ticketMs: 1_500 },
});
const QUICK = testQueue({
  name: "quick",
  priority: 0,
  advice: { baseMs: 7, perWorkerMs: 0.1, ticketMs: 1_500 },
});

function backlogOf(
  ...requests: readonly Parameters<AdviceBacklog["add"]>[0][]
) {
  const backlog = new AdviceBacklog();
  for (const queue of requests) backlog.add(queue, Infinity);
  backlog.endPass();
  return backlog;
}

test("a queue waits behind its own requests and those of more urgent queues", (t) => {
  const backlog = backlogOf(QUICK, MEDIUM, MEDIUM, SLOW);
  t.is(backlog.waitMs(MEDIUM, 2), (10 + 2 * 100 + 1_000) / 2);
  t.is(backlog.waitMs(QUICK, 2), 10 / 2);
});

test("a queue none of whose requests waits does not wait behind others", (t) => {
  t.is(backlogOf(SLOW, SLOW).waitMs(MEDIUM, 1), 0);
});

test("slow requests get a part of the only channel, and all but one of several", (t) => {
  const backlog = backlogOf(SLOW, SLOW);
  t.is(backlog.waitMs(SLOW, 1), 8_000);
  t.is(backlog.waitMs(SLOW, 2), 2_000);
  t.is(backlog.waitMs(SLOW, 3), 1_000);
});

test("the requests of a pass replace those of the previous one", (t) => {
  const backlog = backlogOf(SLOW);
  backlog.endPass();
  t.is(backlog.waitMs(SLOW, 1), 0);
});

test("queues without advice and cells without channels do not wait", (t) => {
  const backlog = backlogOf(testQueue(), SLOW);
  t.is(backlog.waitMs(testQueue(), 1), 0);
  t.is(backlog.waitMs(SLOW, 0), 0);
});
