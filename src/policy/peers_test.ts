import test from "ava";
import { zeroResources } from "../resources.ts";
import { LoadReportSchedule } from "./load_report_schedule.ts";
import { PeerBacklogs } from "./peer_backlogs.ts";
import { PeerCapacities } from "./peer_capacities.ts";
import { PeerUsage } from "./peer_usage.ts";
import { Shares } from "./shares.ts";
import type { Backlog } from "./waiting_queue.ts";

const need = { ...zeroResources, slots: 1 };
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
  peers.recordRequest(candidate!);
  t.deepEqual([...peers.candidates(0)], []);
  peers.recordResponse(candidate!);
  t.is([...peers.candidates(0)].length, 1);
  peers.set("p", { backlogs: [], receivedAtMs: 1 });
  t.deepEqual([...peers.candidates(0)], []);
});

test("backlogs: forgetting a peer drops its pending requests", (t) => {
  const peers = new PeerBacklogs(() => 0);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  peers.recordRequest([...peers.candidates(0)][0]!);
  peers.forget("p");
  t.deepEqual([...peers.candidates(0)], []);
  peers.set("p", { backlogs: [backlog], receivedAtMs: 0 });
  t.is([...peers.candidates(0)].length, 1);
});

test("capacities: the owner with the most free slots is picked, dispatched work is subtracted", (t) => {
  const capacities = new PeerCapacities();
  const margin = zeroResources;
  capacities.set("a", { ...zeroResources, slots: 1 });
  capacities.set("b", { ...zeroResources, slots: 2 });
  const picks = [1, 2, 3, 4].map(() => capacities.pick(need, { margin }));
  t.deepEqual(picks, ["b", "a", "b", undefined]);
});

test("capacities: the margin stays free", (t) => {
  const capacities = new PeerCapacities();
  capacities.set("a", { ...zeroResources, slots: 1 });
  t.is(capacities.pick(need, { margin: need }), undefined);
  t.is(capacities.pick(need, { margin: zeroResources }), "a");
});

test("usage: dispatched work counts until the peer's next report", (t) => {
  const shares = new Shares();
  const usage = new PeerUsage(shares);
  usage.recordDispatch("p", { team: "red", need });
  t.is(shares.usage("red").slots, 1);
  usage.set("p", new Map([["red", { ...need, slots: 5 }]]));
  usage.recordDispatch("p", { team: "red", need });
  t.is(shares.usage("red").slots, 6);
  usage.forget("p");
  t.is(shares.usage("red").slots, 0);
});

test("load reports: pressing changes are due at once, ordinary ones are batched", (t) => {
  const schedule = new LoadReportSchedule({
    ordinaryGapMs: 20,
    pressingGapMs: 1,
  });
  t.is(schedule.dueAtMs, Infinity);
  schedule.recordChange("ordinary", 100);
  t.is(schedule.dueAtMs, 100);
  schedule.recordSent(100);
  schedule.recordChange("ordinary", 105);
  t.is(schedule.dueAtMs, 120);
  schedule.recordChange("pressing", 106);
  t.is(schedule.dueAtMs, 106);
  schedule.recordSent(106);
  t.is(schedule.dueAtMs, Infinity);
});
