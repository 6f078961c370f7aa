import test from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { StoreEndpoints } from "./store_endpoints.ts";

function endpoints(count: number) {
  const service = new MemoryService(new ManualClock());
  const stores = Array.from({ length: count }, () => new MemoryStore(service));
  return { service, stores, store: new StoreEndpoints(stores) };
}

const put = [{ type: "put", key: "a", value: "1" }] as const;

test("endpoints: the next one takes over", async (t) => {
  const { stores, store } = endpoints(3);
  stores[0]!.cut();
  stores[1]!.cut();
  t.true((await store.commit([], put)).isOk());
  t.is((await store.get("a"))._unsafeUnwrap()?.value, "1");
});

test("endpoints: all away", async (t) => {
  const { stores, store } = endpoints(2);
  for (const one of stores) one.cut();
  t.is((await store.get("a"))._unsafeUnwrapErr().type, "storeUnreachable");
  stores[0]!.heal();
  t.true((await store.get("a")).isOk());
});

test("endpoints: none set", async (t) => {
  const { store } = endpoints(0);
  t.is((await store.get("a"))._unsafeUnwrapErr().type, "storeUnreachable");
});

test("endpoints: a lost answer goes nowhere else", async (t) => {
  const { service, stores, store } = endpoints(2);
  stores[0]!.faults.loseAnswers = 1;
  const result = await store.commit([], put);
  t.is(result._unsafeUnwrapErr().type, "storeAnswerLost");
  t.is(service.calls, 1);
});

test("endpoints: a watch that ends starts at the next one", async (t) => {
  const { stores, store } = endpoints(2);
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
