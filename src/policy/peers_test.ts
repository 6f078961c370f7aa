import test from "ava";
import { noResources } from "../resources.ts";
import { Announcer } from "./announcer.ts";
import { PeerBacklogs } from "./peer_backlogs.ts";
import { PeerRooms } from "./peer_rooms.ts";
import { PeerUsage } from "./peer_usage.ts";
import { Shares } from "./shares.ts";
import type { Backlog } from "./waiting.ts";

const need = { ...noResources, slots: 1 };
const backlog: Backlog = {
  team: "red",
  workload: "receipts",
  urgency: "urgent",
  count: 1,
  oldestArrivedAgoMs: 0,
  need,
};

test("backlogs: requested items are not offered again", (t) => {
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

test("backlogs: forgetting a peer drops its pending requests", (t) => {
  const peers = new PeerBacklogs(() => 0);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  peers.claim([...peers.candidates(0)][0]!);
  peers.forget("p");
  t.deepEqual([...peers.candidates(0)], []);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  t.is([...peers.candidates(0)].length, 1);
});

test("capacities: the owner with the most free slots is picked, dispatched work is subtracted", (t) => {
  const capacities = new PeerRooms();
  const margin = noResources;
  capacities.set("a", { ...noResources, slots: 1 });
  capacities.set("b", { ...noResources, slots: 2 });
  const picks = [1, 2, 3, 4].map(() => capacities.pick(need, { margin }));
  t.deepEqual(picks, ["b", "a", "b", undefined]);
});

test("capacities: the margin stays free", (t) => {
  const capacities = new PeerRooms();
  capacities.set("a", { ...noResources, slots: 1 });
  t.is(capacities.pick(need, { margin: need }), undefined);
  t.is(capacities.pick(need, { margin: noResources }), "a");
});

test("usage: dispatched work counts until the peer's next report", (t) => {
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

test("load reports: pressing changes are due at once, ordinary ones are batched", (t) => {
  const schedule = new Announcer({ ordinaryGapMs: 20, pressingGapMs: 1 });
  t.is(schedule.dueAtMs, Infinity);
  schedule.note("ordinary", 100);
  t.is(schedule.dueAtMs, 100);
  schedule.sent(100);
  schedule.note("ordinary", 105);
  t.is(schedule.dueAtMs, 120);
  schedule.note("pressing", 106);
  t.is(schedule.dueAtMs, 106);
  schedule.sent(106);
  t.is(schedule.dueAtMs, Infinity);
});
