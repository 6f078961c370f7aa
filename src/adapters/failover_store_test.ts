import test from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { FailoverStore } from "./failover_store.ts";

function openEndpoints(count: number) {
  const service = new MemoryService(new ManualClock());
  const stores = Array.from({ length: count }, () => new MemoryStore(service));
  return { service, stores, store: new FailoverStore(stores) };
}

const put = [{ type: "put", key: "a", value: "1" }] as const;

test("endpoints: a call fails over to the next reachable endpoint", async (t) => {
  const { stores, store } = openEndpoints(3);
  stores[0]!.cut();
  stores[1]!.cut();
  t.true((await store.commit([], put)).isOk());
  t.is((await store.get("a"))._unsafeUnwrap()?.value, "1");
});

test("endpoints: a call fails while all are unreachable", async (t) => {
  const { stores, store } = openEndpoints(2);
  for (const one of stores) one.cut();
  t.is((await store.get("a"))._unsafeUnwrapErr().type, "storeUnreachable");
  stores[0]!.heal();
  t.true((await store.get("a")).isOk());
});

test("endpoints: a call fails if none is configured", async (t) => {
  const { store } = openEndpoints(0);
  t.is((await store.get("a"))._unsafeUnwrapErr().type, "storeUnreachable");
});

test("endpoints: a call whose response is lost is not retried", async (t) => {
  const { service, stores, store } = openEndpoints(2);
  stores[0]!.faults.lostReplies = 1;
  const result = await store.commit([], put);
  t.is(result._unsafeUnwrapErr().type, "storeAnswerLost");
  t.is(service.calls, 1);
});

test("endpoints: a new watch opens at the next endpoint", async (t) => {
  const { stores, store } = openEndpoints(2);
  const seen: unknown[] = [];
  const watcher = {
    changed: (changes: readonly unknown[]) => seen.push(...changes),
    ended: () => seen.push("ended"),
  };
  store.watch("a", 1, watcher);
  stores[0]!.cut();
  t.deepEqual(seen, ["ended"]);
  store.watch("a", 1, watcher);
  await store.commit([], put);
  await new Promise(setImmediate);
  t.is(seen.length, 2);
});
