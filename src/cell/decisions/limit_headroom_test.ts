import test from "ava";
import type { Amounts, Team } from "../types.ts";
import {
  HEADROOM_WINDOW_MS,
  type HeadroomRequest,
  LimitHeadroom,
} from "./limit_headroom.ts";

const TEAM: Team = { name: "a", keys: [], weight: 0, limit: cores(20) };

function cores(count: number): Amounts {
  return { cpuMillis: count * 1_000, memoryMib: 0, accelerators: 0 };
}

/** Headroom for a team whose urgent work used six cores at time 0. */
function afterPeak(): LimitHeadroom {
  const headroom = new LimitHeadroom();
  headroom.record(TEAM.name, cores(2), 0);
  headroom.record(TEAM.name, cores(6), 0);
  headroom.record(TEAM.name, cores(1), 600);
  return headroom;
}

function request(overrides: Partial<HeadroomRequest> = {}): HeadroomRequest {
  return {
    team: TEAM,
    used: cores(12),
    urgentUsed: cores(0),
    minStart: cores(1),
    urgentIsWaiting: false,
    waitedMs: 0,
    ...overrides,
  };
}

test("deferrable work near the limit leaves the recent peak of the urgent work free", (t) => {
  t.deepEqual(afterPeak().reservedFor(request(), 1_000), cores(6));
  const running = request({ urgentUsed: cores(4) });
  t.deepEqual(afterPeak().reservedFor(running, 1_000), cores(2));
  const all = request({ urgentUsed: cores(7) });
  t.deepEqual(afterPeak().reservedFor(all, 1_000), cores(0));
});

test("no headroom is reserved without recent urgent work", (t) => {
  t.deepEqual(new LimitHeadroom().reservedFor(request(), 0), cores(0));
  const later = 600 + HEADROOM_WINDOW_MS + 500;
  t.deepEqual(afterPeak().reservedFor(request(), later), cores(0));
});

test("a peak counts for the whole window, not only for the last slot", (t) => {
  const later = HEADROOM_WINDOW_MS;
  t.deepEqual(afterPeak().reservedFor(request(), later), cores(6));
});

test("a gang that fits may start while its team uses less than half of its limit", (t) => {
  const low = request({ used: cores(9), minStart: cores(11) });
  t.deepEqual(afterPeak().reservedFor(low, 1_000), cores(0));
  const middle = request({ used: cores(9), minStart: cores(7) });
  t.deepEqual(afterPeak().reservedFor(middle, 1_000), cores(4));
});

test("a wide step of a team below half of its limit leaves the headroom free", (t) => {
  const wide = request({ used: cores(0), minStart: cores(1) });
  t.deepEqual(afterPeak().reservedFor(wide, 1_000), cores(6));
});

test("the headroom is at most half of the limit", (t) => {
  const headroom = new LimitHeadroom();
  headroom.record(TEAM.name, cores(18), 0);
  t.deepEqual(headroom.reservedFor(request(), 100), cores(10));
});

test("no headroom is reserved for teams without a limit and unknown teams", (t) => {
  const unlimited = { ...TEAM, limit: cores(0) };
  const headroom = afterPeak();
  const unlimitedRequest = request({ team: unlimited });
  t.deepEqual(headroom.reservedFor(unlimitedRequest, 1_000), cores(0));
  t.deepEqual(
    headroom.reservedFor(request({ team: undefined }), 1_000),
    cores(0),
  );
});

test("a gang too large for the headroom is not starved", (t) => {
  const large = request({ minStart: cores(16) });
  t.deepEqual(afterPeak().reservedFor(large, 1_000), cores(0));
  const whileUrgentWaits = { ...large, urgentIsWaiting: true };
  t.deepEqual(afterPeak().reservedFor(whileUrgentWaits, 1_000), cores(6));
  const afterWait = { ...whileUrgentWaits, waitedMs: 3_000 };
  t.deepEqual(afterPeak().reservedFor(afterWait, 1_000), cores(0));
});
