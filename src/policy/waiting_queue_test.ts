import test from "ava";
import fc from "fast-check";
import { zeroResources } from "../resources.ts";
import { Heap } from "./heap.ts";
import { type WaitingItem, WaitingQueue } from "./waiting_queue.ts";

const bound = { maxWaiting: 4, maxWaitingPerTeam: 3 };

function item(id: string, extra: Partial<WaitingItem> = {}): WaitingItem {
  return {
    id,
    team: "red",
    queue: "counter",
    workload: "receipts",
    urgency: "urgent",
    need: { ...zeroResources, slots: 1 },
    arrivedAtMs: 0,
    ...extra,
  };
}

test("heap: items are popped in order after any removals", (t) => {
  const property = fc.property(
    fc.uniqueArray(fc.integer({ min: 0, max: 99 })),
    fc.array(fc.integer({ min: 0, max: 99 })),
    (values, removed) => {
      const heap = new Heap<{ id: string; value: number }>((a, b) =>
        a.value < b.value
      );
      for (const value of values) heap.push({ id: `${value}`, value });
      for (const value of removed) heap.remove(`${value}`);
      const popped: number[] = [];
      while (heap.size > 0) popped.push(heap.pop()!.value);
      const expected = values.filter((value) => !removed.includes(value));
      return `${popped}` === `${expected.toSorted((a, b) => a - b)}`;
    },
  );
  fc.assert(property, { seed: 7 });
  t.pass();
});

test("push: fails at the bounds of queue and team", (t) => {
  const queue = new WaitingQueue(() => bound);
  for (const id of ["1", "2", "3"]) t.true(queue.push(item(id)).isOk());
  const refused = queue.push(item("4"));
  t.is(refused._unsafeUnwrapErr().type, "queueFull");
  t.true(queue.push(item("5", { team: "blue" })).isOk());
  t.true(queue.push(item("6", { team: "blue" })).isErr());
  queue.remove("1");
  t.true(queue.push(item("6", { team: "blue" })).isOk());
  t.is(queue.waitingIn("counter"), 4);
});

test("push: an item with the same id is replaced", (t) => {
  const queue = new WaitingQueue(() => bound);
  queue.push(item("1"));
  queue.push(item("1", { arrivedAtMs: 5 }));
  t.is(queue.size, 1);
  t.is(queue.waitingIn("counter"), 1);
});

test("head: ordered by due time, then by arrival", (t) => {
  const queue = new WaitingQueue(() => bound);
  queue.push(item("late", { arrivedAtMs: 1 }));
  queue.push(item("early", { arrivedAtMs: 0 }));
  t.is(queue.head("urgent", "red")?.id, "early");
  queue.push(item("due", { arrivedAtMs: 2, dueAtMs: 9 }));
  t.is(queue.head("urgent", "red")?.id, "due");
  t.is(queue.head("deferred", "red"), undefined);
});

test("expire: removes items whose deadline has passed", (t) => {
  const queue = new WaitingQueue(() => bound);
  queue.push(item("1", { deadlineAtMs: 10 }));
  queue.push(item("2", { deadlineAtMs: 30 }));
  queue.push(item("3"));
  t.is(queue.nextDeadlineMs(), 10);
  t.deepEqual(queue.expire(20).map(({ id }) => id), ["1"]);
  t.deepEqual([...queue.heads()].map(({ id }) => id), ["2"]);
  t.is(queue.size, 2);
});

test("summary: one entry for each urgency, team and workload", (t) => {
  const queue = new WaitingQueue(() => bound);
  queue.push(item("1", { arrivedAtMs: 40 }));
  queue.push(item("2", { arrivedAtMs: 50 }));
  queue.push(item("3", { team: "blue", urgency: "deferred", dueAtMs: 90 }));
  t.deepEqual(queue.summary(100), [
    {
      team: "red",
      workload: "receipts",
      urgency: "urgent",
      count: 2,
      oldestArrivedAgoMs: 60,
      need: { ...zeroResources, slots: 1 },
    },
    {
      team: "blue",
      workload: "receipts",
      urgency: "deferred",
      count: 1,
      oldestArrivedAgoMs: 100,
      dueInMs: -10,
      need: { ...zeroResources, slots: 1 },
    },
  ]);
});

test("removeAll: other items keep waiting", (t) => {
  const queue = new WaitingQueue(() => bound);
  for (const id of ["1", "2", "3"]) queue.push(item(id));
  t.is(queue.removeAll(["1", "3", "9"]).length, 2);
  t.is(queue.takeNext((heads) => [...heads][0])?.id, "2");
  t.deepEqual(queue.summary(0), []);
});
