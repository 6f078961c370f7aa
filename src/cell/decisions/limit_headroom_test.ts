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

/** A team near its limit whose urgent work used six cores at time 0. */
function peaked(): LimitHeadroom {
  const headroom = new LimitHeadroom();
  headroom.note(TEAM.name, cores(2), 0);
  headroom.note(TEAM.name, cores(6), 0);
  headroom.note(TEAM.name, cores(1), 600);
  return headroom;
}

function request(change: Partial<HeadroomRequest> = {}): HeadroomRequest {
  return {
    team: TEAM,
    used: cores(12),
    urgent: cores(0),
    least: cores(1),
    urgentWaits: false,
    waitedMs: 0,
    ...change,
  };
}

test("deferrable work at the limit leaves free what urgent work has just needed", (t) => {
  t.deepEqual(peaked().keptFrom(request(), 1_000), cores(6));
  const running = request({ urgent: cores(4) });
  t.deepEqual(peaked().keptFrom(running, 1_000), cores(2));
  const all = request({ urgent: cores(7) });
  t.deepEqual(peaked().keptFrom(all, 1_000), cores(0));
});

test("a team without urgent work has its whole limit, and so has a new holder", (t) => {
  t.deepEqual(new LimitHeadroom().keptFrom(request(), 0), cores(0));
  const later = 600 + HEADROOM_WINDOW_MS + 500;
  t.deepEqual(peaked().keptFrom(request(), later), cores(0));
});

test("a peak counts for the whole window, not for its last slot", (t) => {
  const later = HEADROOM_WINDOW_MS;
  t.deepEqual(peaked().keptFrom(request(), later), cores(6));
});

test("a gang that fits starts while its team uses under half of its limit", (t) => {
  const low = request({ used: cores(9), least: cores(11) });
  t.deepEqual(peaked().keptFrom(low, 1_000), cores(0));
  const middle = request({ used: cores(9), least: cores(7) });
  t.deepEqual(peaked().keptFrom(middle, 1_000), cores(4));
});

test("a wide step of a team under half of its limit leaves the headroom free", (t) => {
  const wide = request({ used: cores(0), least: cores(1) });
  t.deepEqual(peaked().keptFrom(wide, 1_000), cores(6));
});

test("urgent work of the past takes half of the limit at most", (t) => {
  const headroom = new LimitHeadroom();
  headroom.note(TEAM.name, cores(18), 0);
  t.deepEqual(headroom.keptFrom(request(), 100), cores(10));
});

test("teams without a limit and unknown teams leave nothing free", (t) => {
  const unlimited = { ...TEAM, limit: cores(0) };
  const headroom = peaked();
  const ofUnlimited = request({ team: unlimited });
  t.deepEqual(headroom.keptFrom(ofUnlimited, 1_000), cores(0));
  t.deepEqual(
    headroom.keptFrom(request({ team: undefined }), 1_000),
    cores(0),
  );
});

test("a gang too large for the headroom is not starved", (t) => {
  const large = request({ least: cores(16) });
  t.deepEqual(peaked().keptFrom(large, 1_000), cores(0));
  const beside = { ...large, urgentWaits: true };
  t.deepEqual(peaked().keptFrom(beside, 1_000), cores(6));
  const patient = { ...beside, waitedMs: 3_000 };
  t.deepEqual(peaked().keptFrom(patient, 1_000), cores(0));
});
