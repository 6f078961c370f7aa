import test from "ava";
import { ChannelDemand } from "./channel_demand.ts";

const SLOW = { slow: true, typicalMs: 1_000 };
const QUICK = { slow: false, typicalMs: 10 };

/** A queue `slow` that is refused a channel every 100 ms of a period. */
function refuse(
  demand: ChannelDemand,
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 100) {
    demand.recordRefusal("slow", { ...SLOW, nowMs });
  }
}

test("a queue that waits may borrow first and claims a channel later", (t) => {
  const demand = new ChannelDemand();
  demand.recordSent("other", { slow: false, nowMs: 0 });
  refuse(demand, { fromMs: 0, toMs: 400 });
  t.false(demand.mayBorrow("slow", 400));
  refuse(demand, { fromMs: 500, toMs: 2_900 });
  t.true(demand.mayBorrow("slow", 500));
  t.deepEqual(demand.claimingQueues(2_900), []);
  refuse(demand, { fromMs: 3_000, toMs: 3_000 });
  t.deepEqual(demand.claimingQueues(3_000), ["slow"]);
});

test("a queue may borrow at once while no other is active", (t) => {
  const demand = new ChannelDemand();
  refuse(demand, { fromMs: 0, toMs: 0 });
  t.true(demand.mayBorrow("slow", 0));
});

test("a queue with a request in flight claims nothing", (t) => {
  const demand = new ChannelDemand();
  demand.recordSent("slow", { slow: true, nowMs: 0 });
  refuse(demand, { fromMs: 0, toMs: 9_000 });
  t.deepEqual(demand.claimingQueues(9_000), []);
  demand.recordEnd("slow", { answered: true, nowMs: 9_000 });
  t.deepEqual(demand.claimingQueues(9_000), []);
});

test("a failed request does not prolong the wait for a claim", (t) => {
  const demand = new ChannelDemand();
  refuse(demand, { fromMs: 0, toMs: 1_000 });
  demand.recordSent("slow", { slow: true, nowMs: 1_000 });
  refuse(demand, { fromMs: 1_000, toMs: 3_400 });
  demand.recordEnd("slow", { answered: false, nowMs: 3_400 });
  t.deepEqual(demand.claimingQueues(3_400), ["slow"]);
});

test("a claim ends when the queue wants no channel any more", (t) => {
  const demand = new ChannelDemand();
  refuse(demand, { fromMs: 0, toMs: 5_000 });
  t.deepEqual(demand.claimingQueues(5_000), ["slow"]);
  t.deepEqual(demand.claimingQueues(6_000), []);
  t.false(demand.mayBorrow("slow", 6_000));
});

test("a claim that is of no use soon ends unless the queue is refused again", (t) => {
  const demand = new ChannelDemand();
  refuse(demand, { fromMs: 0, toMs: 5_000 });
  demand.recordUnused("slow", 5_000);
  t.deepEqual(demand.claimingQueues(5_040), ["slow"]);
  t.deepEqual(demand.claimingQueues(5_060), []);
  refuse(demand, { fromMs: 5_040, toMs: 5_040 });
  t.deepEqual(demand.claimingQueues(5_060), ["slow"]);
});

test("the queue that has waited longest claims first", (t) => {
  const demand = new ChannelDemand();
  for (let nowMs = 0; nowMs <= 6_000; nowMs += 100) {
    demand.recordRefusal("first", { ...SLOW, nowMs });
    if (nowMs >= 500) demand.recordRefusal("second", { ...QUICK, nowMs });
  }
  t.deepEqual(demand.claimingQueues(6_000), ["first", "second"]);
});

test("a queue is active while it waits, has a request in flight or had one", (t) => {
  const demand = new ChannelDemand();
  t.false(demand.othersActive("slow", 0));
  demand.recordSent("quick", { slow: false, nowMs: 0 });
  t.true(demand.othersActive("slow", 9_000));
  t.false(demand.othersActive("quick", 9_000));
  demand.recordEnd("quick", { answered: true, nowMs: 9_000 });
  t.true(demand.othersActive("slow", 9_400));
  t.false(demand.othersActive("slow", 9_600));
});
