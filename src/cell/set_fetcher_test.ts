import test from "ava";
import { ManualClock } from "../clock.ts";
import { silentLog } from "../logger.ts";
import { SetFetcher } from "./set_fetcher.ts";
import { ActiveSet } from "./active_set.ts";
import type { ClusterSet } from "./types.ts";

function setOf(version: number): ClusterSet {
  return { version, queues: [], teams: [], maxBodyBytes: 1 };
}

function open(fetched: ClusterSet | undefined) {
  const clock = new ManualClock();
  const fetchedFrom: string[] = [];
  const set = new ActiveSet({ clock, log: silentLog });
  const fetches = new SetFetcher({
    set,
    fetch: (instance) => {
      fetchedFrom.push(instance);
      return Promise.resolve(fetched);
    },
    clock,
    log: silentLog,
  });
  return { clock, fetchedFrom, set, fetches };
}

test("nothing is fetched when the store delivers the set in time", async (t) => {
  const { clock, fetchedFrom, set, fetches } = open(setOf(2));
  void fetches.ensureVersion("a", 2);
  await clock.run(200);
  set.activate(setOf(2), "store");
  await clock.run(500);
  t.deepEqual(fetchedFrom, []);
});

test("a set that the store does not deliver is fetched once", async (t) => {
  const { clock, fetchedFrom, set, fetches } = open(setOf(2));
  for (const instance of ["a", "b", "c"]) {
    void fetches.ensureVersion(instance, 2);
  }
  await clock.run(500);
  t.deepEqual(fetchedFrom, ["a"]);
  t.is(set.version, 2);
});

test("a failed fetch leaves the set unchanged and can be repeated", async (t) => {
  const { clock, fetchedFrom, set, fetches } = open(undefined);
  void fetches.ensureVersion("a", 2);
  await clock.run(500);
  void fetches.ensureVersion("b", 2);
  await clock.run(500);
  t.deepEqual(fetchedFrom, ["a", "b"]);
  t.is(set.version, 0);
});
