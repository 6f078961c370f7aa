import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { AdviceBacklog, type ChannelSupply } from "./advice_backlog.ts";

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

/** Channels that quicker queues use too. */
function supply(channels: number): ChannelSupply {
  return { channels, quickerActive: true };
}

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
  t.is(backlog.waitMs(MEDIUM, supply(2)), (10 + 2 * 100 + 1_000) / 2);
  t.is(backlog.waitMs(QUICK, supply(2)), 10 / 2);
});

test("a queue none of whose requests waits does not wait behind others", (t) => {
  t.is(backlogOf(SLOW, SLOW).waitMs(MEDIUM, supply(1)), 0);
});

test("slow requests get a part of the only channel, and all but one of several", (t) => {
  const backlog = backlogOf(SLOW, SLOW);
  t.is(backlog.waitMs(SLOW, supply(1)), 8_000);
  t.is(backlog.waitMs(SLOW, supply(2)), 2_000);
  t.is(backlog.waitMs(SLOW, supply(3)), 1_000);
});

test("the requests of a pass replace those of the previous one", (t) => {
  const backlog = backlogOf(SLOW);
  backlog.endPass();
  t.is(backlog.waitMs(SLOW, supply(1)), 0);
});

test("queues without advice do not wait", (t) => {
  t.is(backlogOf(testQueue(), SLOW).waitMs(testQueue(), supply(1)), 0);
});

test("without any usable channel the wait is at least that with one", (t) => {
  const backlog = backlogOf(SLOW);
  t.is(backlog.waitMs(SLOW, supply(0)), backlog.waitMs(SLOW, supply(1)));
});

test("slow requests get all channels while there are no others", (t) => {
  const backlog = backlogOf(SLOW, SLOW);
  t.is(backlog.waitMs(SLOW, { channels: 1, quickerActive: false }), 2_000);
});

test("submissions since the last pass count until the next one", (t) => {
  const backlog = backlogOf(SLOW);
  for (const queue of [SLOW, SLOW, QUICK]) backlog.addSubmission(queue);
  t.is(backlog.waitMs(SLOW, supply(2)), 10 / 2 + 3_000);
  backlog.endPass();
  t.is(backlog.waitMs(SLOW, supply(2)), 0);
});

test("requests beyond the steps that have room do not count", (t) => {
  const backlog = new AdviceBacklog();
  for (let request = 0; request < 5; request++) backlog.add(SLOW, 2);
  backlog.endPass();
  t.is(backlog.waitMs(SLOW, supply(2)), 2_000);
});
