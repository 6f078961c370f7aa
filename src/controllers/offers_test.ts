import test from "ava";
import { ManualClock } from "../clock.ts";
import { NEED } from "../fakes/dispatch_test_cluster.ts";
import { WorkerPool } from "../policy/worker_pool.ts";
import { Offers } from "./offers.ts";

function setUp() {
  const clock = new ManualClock();
  const pool = new WorkerPool();
  pool.upsert({
    id: "a",
    address: "a",
    zone: "z",
    rack: "r",
    capacity: { cpuMillis: 8_000, memoryMib: 8_000, accelerators: 0, slots: 8 },
    connections: 60,
  });
  const released: string[] = [];
  const offers = new Offers({
    pool,
    clock,
    onReleased: ({ offer }) => released.push(offer),
  });
  const addOffer = (offer: string, reservation = offer) => {
    pool.allocate("a", NEED);
    const capacity = { worker: "a", team: "large", need: NEED, fence: 1 };
    const reserved = { ...capacity, offer, reservation };
    const added = offers.add(reserved, 1_000);
    if (!added) pool.release("a", NEED);
    return added;
  };
  return { clock, pool, released, offers, addOffer };
}

test("offer: expires", (t) => {
  const { clock, pool, released, offers, addOffer } = setUp();
  t.true(addOffer("o"));
  clock.advance(999);
  t.is(offers.size, 1);
  clock.advance(1);
  t.deepEqual(released, ["o"]);
  t.is(pool.free("a")?.slots, 8);
});

test("offer: not available after it expired", (t) => {
  const { clock, offers, addOffer } = setUp();
  addOffer("o");
  clock.advance(1_000);
  t.is(offers.take("o"), undefined);
});

test("offer: taken once and does not expire afterwards", (t) => {
  const { clock, pool, released, offers, addOffer } = setUp();
  addOffer("o");
  t.is(offers.take("o")?.worker, "a");
  t.is(offers.take("o"), undefined);
  clock.advance(5_000);
  t.deepEqual(released, []);
  t.is(pool.free("a")?.slots, 7);
});

test("offer: rejected if its reservation was cancelled first", (t) => {
  const { pool, offers, addOffer } = setUp();
  offers.cancel("r");
  t.false(addOffer("o", "r"));
  t.is(pool.free("a")?.slots, 8);
});

test("offer: released when its reservation is cancelled", (t) => {
  const { pool, released, offers, addOffer } = setUp();
  addOffer("o", "r");
  addOffer("p", "r");
  addOffer("q");
  offers.cancel("r");
  t.deepEqual(released, ["o", "p"]);
  t.is(pool.free("a")?.slots, 7);
});

test("offer: a duplicate is rejected", (t) => {
  const { clock, pool, addOffer } = setUp();
  t.true(addOffer("o"));
  t.false(addOffer("o"));
  clock.advance(1_000);
  t.is(pool.free("a")?.slots, 8);
});
