import test from "ava";
import { zeroResources } from "../resources.ts";
import { Headroom } from "./headroom.ts";

const need = { ...zeroResources, slots: 1 };
const capacity = { ...zeroResources, slots: 30 };

function headroomOf(counts: { urgent: number; ended: number }): Headroom {
  const headroom = new Headroom();
  for (let i = 0; i < counts.urgent; i++) headroom.recordUrgent(need, 0);
  for (let i = 0; i < counts.ended; i++) headroom.recordCompletion(0);
  return headroom;
}

test("headroom: zero without urgent work", (t) => {
  const headroom = headroomOf({ urgent: 0, ended: 100 });
  t.deepEqual(headroom.reservedCapacity(capacity, 0), zeroResources);
});

test("headroom: grows with the rate of urgent work", (t) => {
  const slots = [10, 27, 60, 100].map((urgent) =>
    headroomOf({ urgent, ended: 100 }).reservedCapacity(capacity, 0).slots
  );
  t.deepEqual(slots, [1, 2, 3, 3]);
});

test("headroom: decays to zero after urgent work stops", (t) => {
  const headroom = headroomOf({ urgent: 50, ended: 100 });
  t.is(headroom.reservedCapacity(capacity, 60_000).slots, 0);
});

test("headroom: at most a tenth of the capacity", (t) => {
  const headroom = headroomOf({ urgent: 50, ended: 0 });
  t.is(headroom.reservedCapacity({ ...zeroResources, slots: 8 }, 0).slots, 0);
  t.is(
    headroom.reservedCapacity({ ...zeroResources, slots: 100 }, 0).slots,
    10,
  );
  t.is(
    headroom.reservedCapacity({ ...zeroResources, slots: 500 }, 0).slots,
    32,
  );
});
