import test from "ava";
import { Instances } from "./_instances_test.ts";

test("one of several instances takes the cell, the others follow", async (t) => {
  const world = new Instances();
  const all = ["a", "b", "c"].map((name) => world.start(name));
  await world.clock.run(2_000);
  t.is(world.holding.size, 1);
  t.deepEqual(world.fences, [1]);
  const followers = all.filter((one) => one.holder !== undefined);
  t.is(followers.length, 2);
  t.deepEqual([...followers[0]!.waitingNews().counts], [["receipts", 2]]);
  t.true(all.some((one) => one.holds()));
});

test("a silent holder is replaced within a second and stops on its own", async (t) => {
  const world = new Instances();
  const first = world.start("a");
  await world.clock.run(1_000);
  world.start("b");
  world.start("c");
  await world.clock.run(1_000);
  t.deepEqual([...world.holding], ["a"]);
  world.network.cut.add("a");
  await world.clock.run(1_000);
  const others = [...world.holding].filter((name) => name !== "a");
  t.is(others.length, 1);
  t.deepEqual(world.fences, [1, 2]);
  await world.clock.run(1_500);
  t.false(first.holds());
});

test("a process that starts anew does not hold what it held before", async (t) => {
  const world = new Instances();
  world.start("a", { boot: "boot-1" });
  await world.clock.run(1_500);
  world.holding.clear();
  world.start("a", { boot: "boot-2" });
  await world.clock.run(500);
  t.true(world.fences.includes(2));
});

test("a holder that yields is followed at once", async (t) => {
  const world = new Instances();
  const first = world.start("a");
  await world.clock.run(1_000);
  world.start("b");
  await world.clock.run(1_000);
  const yielded = first.yield();
  await world.clock.run(300);
  t.true(await yielded);
  t.true(world.holding.has("b"));
});

test("a leaving holder does not wait for a successor that is dead", async (t) => {
  const world = new Instances();
  const first = world.start("a");
  await world.clock.run(1_000);
  world.start("b", { cores: 2 });
  world.start("c");
  await world.clock.run(1_000);
  world.network.cut.add("b");
  await world.clock.run(1_600);
  const asked: string[] = [];
  world.network.onCall = (method, _from, peer) => {
    if (method === "cell.yield") asked.push(peer);
  };
  const yielded = first.yield();
  await world.clock.run(300);
  t.true(await yielded);
  t.deepEqual(asked, ["c"]);
});

test("a successor that is busy is asked again", async (t) => {
  const world = new Instances();
  const first = world.start("a");
  await world.clock.run(1_000);
  world.start("b");
  await world.clock.run(1_000);
  const mine = world.network.handlers.get("b")!;
  const handler = mine.get("cell.yield")!;
  let asked = 0;
  mine.set("cell.yield", (params, from) => {
    asked++;
    return asked === 1 ? false : handler(params, from);
  });
  const yielded = first.yield();
  await world.clock.run(1_000);
  t.true(await yielded);
  t.is(asked, 2);
  t.deepEqual([...world.holding], ["b"]);
});

test("no instance takes the cell while the store is away", async (t) => {
  const world = new Instances();
  world.start("a");
  await world.clock.run(1_000);
  const follower = world.start("b");
  await world.clock.run(1_000);
  world.store.away = true;
  await world.clock.run(3_000);
  t.deepEqual([...world.holding], ["a"]);
  t.is(follower.holder?.name, "a");
});

test("a holder that the store turns away holds on while members confirm", async (t) => {
  const world = new Instances();
  const first = world.start("a");
  await world.clock.run(1_000);
  world.start("b");
  world.start("c");
  await world.clock.run(1_000);
  world.store.away = true;
  await world.clock.run(4_000);
  t.true(first.holds());
});

test("nobody reaches the store through a holder that is silent", async (t) => {
  const world = new Instances();
  world.start("a");
  await world.clock.run(1_000);
  const follower = world.start("b");
  world.start("c");
  await world.clock.run(1_000);
  t.deepEqual(follower.relays(), ["a"]);
  world.network.cut.add("a");
  world.store.away = true;
  await world.clock.run(600);
  t.deepEqual(follower.relays(), []);
});

test("a strong machine takes the cell before many weak ones", async (t) => {
  const world = new Instances();
  world.start("a", { cores: 1.35 });
  await world.clock.run(1_000);
  for (const name of ["b", "c", "d", "e"]) world.start(name, { cores: 0.3 });
  world.start("z", { cores: 1.35 });
  await world.clock.run(1_000);
  world.network.cut.add("a");
  await world.clock.run(1_500);
  t.true(world.holding.has("z"));
  t.deepEqual(world.fences, [1, 2]);
});

test("weak machines take the cell where no strong one does", async (t) => {
  const world = new Instances();
  world.start("a", { cores: 1.35 });
  await world.clock.run(1_000);
  for (const name of ["b", "c"]) world.start(name, { cores: 0.3 });
  await world.clock.run(1_000);
  world.network.cut.add("a");
  await world.clock.run(3_500);
  t.deepEqual(world.fences, [1, 2]);
});

test("a doubt about one holder does not overthrow the next", async (t) => {
  const world = new Instances();
  world.start("a");
  await world.clock.run(1_000);
  world.start("b");
  world.start("c");
  await world.clock.run(1_000);
  world.network.cut.add("a");
  // While the others are asked about fence 1, somebody takes the cell.
  const record = { name: "z", address: "z:1", cores: 1, boot: "z", fence: 2 };
  let taken = 0;
  world.network.onCall = (method, from) => {
    if (method !== "cell.hello" || from === "a" || taken > 0) return;
    taken = world.store.revision + 1;
    const value = JSON.stringify(record);
    void world.store.commit([], [{ type: "put", key: "cell/0/holder", value }]);
    // Only the one that asks has heard of it.
    world.network.handlers.get(from)?.get("cell.status")?.({
      holder: record,
      boot: "z",
      fence: 2,
      revision: taken,
      setVersion: 0,
      watches: false,
      waiting: [],
      membersVersion: 1,
      members: [],
    }, "z");
  };
  await world.clock.run(700);
  t.true(taken > 0);
  t.deepEqual(world.fences, [1]);
});

test("a weak holder gives the cell to a strong machine that has come", async (t) => {
  const world = new Instances();
  const weak = world.start("b", { cores: 0.3 });
  await world.clock.run(1_500);
  t.true(weak.holds());
  world.start("a", { cores: 1.35 });
  await world.clock.run(4_000);
  t.deepEqual([...world.holding], ["a"]);
  t.is(weak.holder?.name, "a");
});

test("members are told to each instance once, and again to one that has forgotten", async (t) => {
  const world = new Instances();
  world.start("a");
  await world.clock.run(1_000);
  const b = world.start("b");
  const lists: number[] = [];
  const note = (name: string) => {
    const mine = world.network.handlers.get(name)!;
    const handler = mine.get("cell.status")!;
    mine.set("cell.status", (params, from) => {
      if ((params as { members: unknown }).members !== null) lists.push(1);
      return handler(params, from);
    });
  };
  note("b");
  await world.clock.run(2_000);
  t.is(b.holder?.name, "a");
  t.true(lists.length >= 1 && lists.length <= 3, String(lists.length));
  lists.length = 0;
  world.start("b", { boot: "b-2" });
  note("b");
  await world.clock.run(1_500);
  t.true(lists.length >= 1 && lists.length <= 3, String(lists.length));
});
