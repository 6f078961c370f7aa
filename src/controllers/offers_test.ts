import test from "ava";
import { ManualClock } from "../clock.ts";
import { NEED } from "../fakes/dispatch_test_cluster.ts";
import { WorkerPool } from "../policy/pool.ts";
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
    released: ({ offer }) => released.push(offer),
  });
  const hold = (offer: string, reservation = offer) => {
    pool.take("a", NEED);
    const room = { worker: "a", team: "large", need: NEED, fence: 1 };
    const held = { ...room, offer, reservation };
    const kept = offers.hold(held, 1_000);
    if (!kept) pool.release("a", NEED);
    return kept;
  };
  return { clock, pool, released, offers, hold };
}

test("offer: lapses", (t) => {
  const { clock, pool, released, offers, hold } = setUp();
  t.true(hold("o"));
  clock.advance(999);
  t.is(offers.size, 1);
  clock.advance(1);
  t.deepEqual(released, ["o"]);
  t.is(pool.free("a")?.slots, 8);
});

test("offer: claimed late", (t) => {
  const { clock, offers, hold } = setUp();
  hold("o");
  clock.advance(1_000);
  t.is(offers.claim("o"), undefined);
});

test("offer: claimed once, and no longer lapses", (t) => {
  const { clock, pool, released, offers, hold } = setUp();
  hold("o");
  t.is(offers.claim("o")?.worker, "a");
  t.is(offers.claim("o"), undefined);
  clock.advance(5_000);
  t.deepEqual(released, []);
  t.is(pool.free("a")?.slots, 7);
});

test("offer: cancelled before it comes", (t) => {
  const { pool, offers, hold } = setUp();
  offers.cancel("r");
  t.false(hold("o", "r"));
  t.is(pool.free("a")?.slots, 8);
});

test("offer: cancelled with its reservation", (t) => {
  const { pool, released, offers, hold } = setUp();
  hold("o", "r");
  hold("p", "r");
  hold("q");
  offers.cancel("r");
  t.deepEqual(released, ["o", "p"]);
  t.is(pool.free("a")?.slots, 7);
});

test("offer: made twice", (t) => {
  const { clock, pool, hold } = setUp();
  t.true(hold("o"));
  t.false(hold("o"));
  clock.advance(1_000);
  t.is(pool.free("a")?.slots, 8);
});
