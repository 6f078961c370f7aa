import test from "ava";
import { zeroResources } from "../resources.ts";
import { Announcer } from "./announcer.ts";
import { PeerBacklogs } from "./peer_backlogs.ts";
import { PeerRooms } from "./peer_rooms.ts";
import { PeerUsage } from "./peer_usage.ts";
import { Shares } from "./shares.ts";
import type { Backlog } from "./waiting.ts";

const need = { ...zeroResources, slots: 1 };
const backlog: Backlog = {
  team: "red",
  workload: "receipts",
  urgency: "urgent",
  count: 1,
  oldestArrivedAgoMs: 0,
  need,
};

test("backlogs: what was asked for is not asked for again", (t) => {
  const peers = new PeerBacklogs(() => 0);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  const [candidate] = peers.candidates(0);
  peers.claim(candidate!);
  t.deepEqual([...peers.candidates(0)], []);
  peers.settle(candidate!);
  t.is([...peers.candidates(0)].length, 1);
  peers.set("p", { backlogs: [], receivedAtMs: 1 });
  t.deepEqual([...peers.candidates(0)], []);
});

test("backlogs: a lost peer takes its claims along", (t) => {
  const peers = new PeerBacklogs(() => 0);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  peers.claim([...peers.candidates(0)][0]!);
  peers.forget("p");
  t.deepEqual([...peers.candidates(0)], []);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  t.is([...peers.candidates(0)].length, 1);
});

test("rooms: the emptiest first, sent work counted", (t) => {
  const rooms = new PeerRooms();
  const margin = zeroResources;
  rooms.set("a", { ...zeroResources, slots: 1 });
  rooms.set("b", { ...zeroResources, slots: 2 });
  const picks = [1, 2, 3, 4].map(() => rooms.pick(need, { margin }));
  t.deepEqual(picks, ["b", "a", "b", undefined]);
});

test("rooms: the margin stays free", (t) => {
  const rooms = new PeerRooms();
  rooms.set("a", { ...zeroResources, slots: 1 });
  t.is(rooms.pick(need, { margin: need }), undefined);
  t.is(rooms.pick(need, { margin: zeroResources }), "a");
});

test("usage: sent work counts until the peer tells its usage", (t) => {
  const shares = new Shares();
  const usage = new PeerUsage(shares);
  usage.sent("p", { team: "red", need });
  t.is(shares.usage("red").slots, 1);
  usage.set("p", new Map([["red", { ...need, slots: 5 }]]));
  usage.sent("p", { team: "red", need });
  t.is(shares.usage("red").slots, 6);
  usage.forget("p");
  t.is(shares.usage("red").slots, 0);
});

test("announcer: pressing changes at once, others gathered", (t) => {
  const announcer = new Announcer({ ordinaryGapMs: 20, pressingGapMs: 1 });
  t.is(announcer.dueAtMs, Infinity);
  announcer.note("ordinary", 100);
  t.is(announcer.dueAtMs, 100);
  announcer.sent(100);
  announcer.note("ordinary", 105);
  t.is(announcer.dueAtMs, 120);
  announcer.note("pressing", 106);
  t.is(announcer.dueAtMs, 106);
  announcer.sent(106);
  t.is(announcer.dueAtMs, Infinity);
});
