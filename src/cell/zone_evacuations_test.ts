import test from "ava";
import { ManualClock } from "../clock.ts";
import type { Fields, Log } from "../logger.ts";
import { silentLog } from "../logger.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

function open(evacuateMs?: number) {
  const clock = new ManualClock();
  clock.advance(10_000);
  const lines: (readonly [string, Fields | undefined])[] = [];
  const log: Log = {
    ...silentLog,
    info: (event, fields) => void lines.push([event, fields]),
  };
  const zones = new ZoneEvacuations({ clock, log, evacuateMs });
  const now = () => ({ readMs: clock.monotonic() });
  return { clock, lines, zones, now };
}

// Guards against a slow response that overwrites newer state.
test("state of an older revision is ignored", (t) => {
  const { zones, now } = open();
  zones.replace(
    { evacuations: [{ zone: "b", revision: 7 }], revision: 9 },
    now(),
  );
  zones.replace({ evacuations: [], revision: 8 }, now());
  t.deepEqual(zones.zones, ["b"]);
  const restored = { type: "restored", zone: "b", revision: 6 } as const;
  zones.apply({ evacuations: [restored], revision: 8 }, now());
  t.deepEqual(zones.zones, ["b"]);
  // A wait for updates that began before the read and ended after it.
  zones.apply({ evacuations: [restored], revision: 11 }, now());
  t.deepEqual(zones.zones, ["b"]);
  zones.apply(
    { evacuations: [{ ...restored, revision: 12 }], revision: 12 },
    now(),
  );
  t.deepEqual(zones.zones, []);
});

test("replacing the state restores the zones that it does not list", (t) => {
  const { zones, now } = open();
  zones.apply({
    evacuations: [
      { type: "evacuated", zone: "a", revision: 2 },
      { type: "evacuated", zone: "b", revision: 3 },
    ],
    revision: 3,
  }, now());
  t.true(zones.has("a") && zones.has("b"));
  zones.replace(
    { evacuations: [{ zone: "b", revision: 3 }], revision: 5 },
    now(),
  );
  t.deepEqual(zones.zones, ["b"]);
});

// Guards against starts based on the outdated state of a process that was suspended or cut off.
test("state is stale before the bound has passed since the request was sent", (t) => {
  const { clock, zones, now } = open(5_000);
  t.true(zones.isStale);
  const requested = now();
  clock.advance(1_000);
  zones.replace({ evacuations: [], revision: 1 }, requested);
  clock.advance(2_900);
  t.false(zones.isStale);
  clock.advance(200);
  t.true(zones.isStale);
  zones.apply({ evacuations: [], revision: 1 }, now());
  t.false(zones.isStale);
});

// Guards against a deployment without the setting in which no runs start any more.
test("without a bound state is never stale", (t) => {
  const { clock, zones } = open();
  clock.advance(100_000);
  t.false(zones.isStale);
});

test("each change is logged once and calls the listener once", (t) => {
  const { clock, lines, zones, now } = open();
  let changes = 0;
  const removeListener = zones.setListener({
    onChanged: () => changes++,
    runsIn: () => 3,
  });
  const state = { evacuations: [{ zone: "b", revision: 2 }], revision: 2 };
  zones.replace(state, now());
  zones.replace({ ...state, revision: 4 }, now());
  clock.advance(500);
  zones.replace({ evacuations: [], revision: 5 }, now());
  t.is(changes, 2);
  t.deepEqual(lines, [
    ["zone.evacuated", { zone: "b", revision: 2, ageMs: 0, runs: 3 }],
    [
      "zone.restored",
      { zone: "b", revision: 5, ageMs: 0, evacuatedMs: 500, runs: 3 },
    ],
  ]);
  removeListener();
  zones.replace({ ...state, revision: 6 }, now());
  t.is(changes, 2);
});
