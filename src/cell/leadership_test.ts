import test from "ava";
import { Instances } from "./_instances_test.ts";
import type { Heartbeat } from "./protocol.ts";

test("one of several instances becomes leader and sends heartbeats to the others", async (t) => {
  const harness = new Instances();
  const all = ["a", "b", "c"].map((name) => harness.start(name));
  await harness.clock.run(2_000);
  t.is(harness.leaders.size, 1);
  t.deepEqual(harness.fences, [1]);
  const others = all.filter((instance) => instance.leader !== undefined);
  t.is(others.length, 2);
  t.deepEqual(others[0]!.waitingJobs(), harness.waiting);
  t.true(all.some((instance) => instance.isLeading()));
});

test("a silent leader is replaced within a second and stops leading by itself", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  harness.start("c");
  await harness.clock.run(1_000);
  t.deepEqual([...harness.leaders], ["a"]);
  harness.network.cut.add("a");
  await harness.clock.run(1_000);
  const others = [...harness.leaders].filter((name) => name !== "a");
  t.is(others.length, 1);
  t.deepEqual(harness.fences, [1, 2]);
  await harness.clock.run(1_500);
  t.false(first.isLeading());
});

test("a restarted leader needs a new term with a new fence", async (t) => {
  const harness = new Instances();
  harness.start("a", { boot: "boot-1" });
  await harness.clock.run(1_500);
  harness.leaders.clear();
  harness.start("a", { boot: "boot-2" });
  await harness.clock.run(500);
  t.true(harness.fences.includes(2));
});

test("a leader that transfers leadership is replaced at once", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  await harness.clock.run(1_000);
  const transferred = first.transfer();
  await harness.clock.run(300);
  t.true(await transferred);
  t.true(harness.leaders.has("b"));
});

test("an exiting leader does not ask a successor that is dead", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b", { cores: 2 });
  harness.start("c");
  await harness.clock.run(1_000);
  harness.network.cut.add("b");
  await harness.clock.run(1_600);
  const asked: string[] = [];
  harness.network.onCall = (method, _from, peer) => {
    if (method === "cell.yield") asked.push(peer);
  };
  const transferred = first.transfer();
  await harness.clock.run(300);
  t.true(await transferred);
  t.deepEqual(asked, ["c"]);
});

test("a successor that declines a transfer is asked again", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  await harness.clock.run(1_000);
  const handlers = harness.network.handlers.get("b")!;
  const handler = handlers.get("cell.yield")!;
  let asked = 0;
  handlers.set("cell.yield", (params, from) => {
    asked++;
    return asked === 1 ? false : handler(params, from);
  });
  const transferred = first.transfer();
  await harness.clock.run(1_000);
  t.true(await transferred);
  t.is(asked, 2);
  t.deepEqual([...harness.leaders], ["b"]);
});

test("no instance replaces a running leader while the store is unreachable", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  const other = harness.start("b");
  await harness.clock.run(1_000);
  harness.store.unavailable = true;
  await harness.clock.run(3_000);
  t.deepEqual([...harness.leaders], ["a"]);
  t.is(other.leader?.name, "a");
});

test("a leader without access to the store keeps leading while members reply", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  harness.start("c");
  await harness.clock.run(1_000);
  harness.store.unavailable = true;
  await harness.clock.run(4_000);
  t.true(first.isLeading());
});

test("a silent leader is not used as a relay to the store", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  const other = harness.start("b");
  harness.start("c");
  await harness.clock.run(1_000);
  t.deepEqual(other.storeRelays(), ["a"]);
  harness.network.cut.add("a");
  harness.store.unavailable = true;
  await harness.clock.run(600);
  t.deepEqual(other.storeRelays(), []);
});

test("a strong machine becomes leader before many weak ones", async (t) => {
  const harness = new Instances();
  harness.start("a", { cores: 1.35 });
  await harness.clock.run(1_000);
  for (const name of ["b", "c", "d", "e"]) harness.start(name, { cores: 0.3 });
  harness.start("z", { cores: 1.35 });
  await harness.clock.run(1_000);
  harness.network.cut.add("a");
  await harness.clock.run(1_500);
  t.true(harness.leaders.has("z"));
  t.deepEqual(harness.fences, [1, 2]);
});

test("a weak machine becomes leader if there is no strong one", async (t) => {
  const harness = new Instances();
  harness.start("a", { cores: 1.35 });
  await harness.clock.run(1_000);
  for (const name of ["b", "c"]) harness.start(name, { cores: 0.3 });
  await harness.clock.run(1_000);
  harness.network.cut.add("a");
  await harness.clock.run(3_500);
  t.deepEqual(harness.fences, [1, 2]);
});

test("a suspicion check about one leader does not replace the next leader", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  harness.start("c");
  await harness.clock.run(1_000);
  harness.network.cut.add("a");
  // While peers are asked about the leader with fence 1, another instance becomes leader.
  const record = { name: "z", address: "z:1", cores: 1, boot: "z", fence: 2 };
  let takenAtRevision = 0;
  harness.network.onCall = (method, from) => {
    if (method !== "cell.hello" || from === "a" || takenAtRevision > 0) return;
    takenAtRevision = harness.store.revision + 1;
    const value = JSON.stringify(record);
    void harness.store.commit([], [{
      type: "put",
      key: "cell/0/holder",
      value,
    }]);
    // Only the instance that runs the check receives the new leader's heartbeat.
    harness.network.handlers.get(from)?.get("cell.status")?.({
      holder: record,
      boot: "z",
      fence: 2,
      revision: takenAtRevision,
      setVersion: 0,
      watches: false,
      waiting: [],
      membersVersion: 1,
      members: [],
    }, "z");
  };
  await harness.clock.run(700);
  t.true(takenAtRevision > 0);
  t.deepEqual(harness.fences, [1]);
});

test("a weak leader transfers leadership to a strong machine that joins", async (t) => {
  const harness = new Instances();
  const weak = harness.start("b", { cores: 0.3 });
  await harness.clock.run(1_500);
  t.true(weak.isLeading());
  harness.start("a", { cores: 1.35 });
  await harness.clock.run(4_000);
  t.deepEqual([...harness.leaders], ["a"]);
  t.is(weak.leader?.name, "a");
});

test("the member list is sent to each instance once, and again after its restart", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  const b = harness.start("b");
  const lists: number[] = [];
  const countLists = (name: string) => {
    const handlers = harness.network.handlers.get(name)!;
    const handler = handlers.get("cell.status")!;
    handlers.set("cell.status", (params, from) => {
      if ((params as { members: unknown }).members !== null) lists.push(1);
      return handler(params, from);
    });
  };
  countLists("b");
  await harness.clock.run(2_000);
  t.is(b.leader?.name, "a");
  t.true(lists.length >= 1 && lists.length <= 3, String(lists.length));
  lists.length = 0;
  harness.start("b", { boot: "b-2" });
  countLists("b");
  await harness.clock.run(1_500);
  t.true(lists.length >= 1 && lists.length <= 3, String(lists.length));
});

// Guards against a new leader that reports an empty backlog before it has read
// the jobs back.
test("the counts of waiting jobs outlast a change of leader, but not for long", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  const others = ["b", "c"].map((name) => harness.start(name));
  await harness.clock.run(1_000);
  for (const name of ["b", "c"]) harness.unrecovered.add(name);
  harness.network.cut.add("a");
  await harness.clock.run(1_000);
  t.deepEqual(harness.fences, [1, 2]);
  for (const other of others) t.deepEqual(other.waitingJobs(), harness.waiting);
  await harness.clock.run(1_000);
  for (const other of others) t.is(other.waitingJobs(), undefined);
  harness.waiting = new Map([["receipts", 3]]);
  harness.unrecovered.clear();
  await harness.clock.run(300);
  for (const other of others) t.deepEqual(other.waitingJobs(), harness.waiting);
});

// Guards against instances of an older build that take a recovering leader's
// heartbeat for a count.
test("a recovering leader's heartbeats repeat the former leader's counts, marked as unknown", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b", { cores: 2 });
  harness.start("c");
  await harness.clock.run(1_000);
  const heartbeats: unknown[] = [];
  const handlers = harness.network.handlers.get("c")!;
  const handler = handlers.get("cell.status")!;
  handlers.set("cell.status", (params, from) => {
    const { waiting, waitingKnown } = params as Heartbeat;
    if (from === "b") heartbeats.push({ waiting, waitingKnown });
    return handler(params, from);
  });
  harness.unrecovered.add("b");
  harness.network.cut.add("a");
  await harness.clock.run(1_000);
  t.deepEqual(heartbeats[0], {
    waiting: [["receipts", 2]],
    waitingKnown: false,
  });
});

// Guards against counts of a leader that may have been replaced without having
// noticed.
test("a leader whose term is not confirmed gives no counts of waiting jobs", async (t) => {
  const harness = new Instances();
  const first = harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  harness.start("c");
  await harness.clock.run(1_000);
  harness.network.cut.add("a");
  harness.store.unavailable = true;
  await harness.clock.run(1_500);
  t.deepEqual(first.waitingJobs(), harness.waiting);
  await harness.clock.run(3_000);
  t.false(first.isLeading());
  t.is(first.waitingJobs(), undefined);
});

test("a process that has heard of no leader gives no counts of waiting jobs", async (t) => {
  const harness = new Instances();
  harness.store.unavailable = true;
  const instance = harness.start("a");
  await harness.clock.run(100);
  t.is(instance.waitingJobs(), undefined);
});

// Guards against an instance that takes no further part in the election.
test("an instance becomes leader after a failure of its election", async (t) => {
  const harness = new Instances();
  const { store } = harness;
  const commit = store.commit.bind(store);
  const instance = harness.start("a");
  store.commit = () => {
    throw new Error("broken");
  };
  await harness.clock.run(2_000);
  t.is(harness.leaders.size, 0);
  store.commit = commit;
  await harness.clock.run(2_000);
  t.true(instance.isLeading());
});

test("a term whose start fails ends, and the next one starts", async (t) => {
  const harness = new Instances();
  const add = harness.leaders.add.bind(harness.leaders);
  let starts = 0;
  harness.leaders.add = (name) => {
    if (starts++ === 0) throw new Error("broken");
    return add(name);
  };
  const instance = harness.start("a");
  await harness.clock.run(4_000);
  t.is(starts, 2);
  t.true(instance.isLeading());
});

test("a leader whose heartbeats fail is replaced", async (t) => {
  const harness = new Instances();
  harness.start("a");
  await harness.clock.run(1_000);
  harness.start("b");
  await harness.clock.run(1_000);
  t.deepEqual(harness.fences, [1]);
  let failures = 0;
  const has = harness.unrecovered.has.bind(harness.unrecovered);
  harness.unrecovered.has = (name) => {
    if (failures++ === 0) throw new Error("broken");
    return has(name);
  };
  await harness.clock.run(2_000);
  t.deepEqual(harness.fences, [1, 2]);
  t.is(harness.leaders.size, 1);
});
