/**
 * Contract of the store port, tested on the etcd client and on the in-memory
 * fake.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { StandinStore } from "../../standins/store/store.ts";
import { systemClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import type { Change, Store } from "../ports/store.ts";
import { EtcdStore } from "./etcd_store.ts";
import { eventually } from "./_eventually_test.ts";

interface Fixture {
  readonly store: Store;
  /** Drops the response to the next write. */
  loseNextResponse(): Promise<void>;
  close(): Promise<void>;
}

const fixtures: Readonly<Record<string, () => Promise<Fixture>>> = {
  etcd: etcdFixture,
  memory: memoryFixture,
};

const cases: Readonly<
  Record<string, (t: ExecutionContext, fixture: Fixture) => Promise<void>>
> = {
  "a missing key is undefined": async (t, { store }) => {
    t.is((await store.get("none"))._unsafeUnwrap(), undefined);
  },
  "a put can be read": async (t, { store }) => {
    const commit = (await put(store, "a", "ä \n €"))._unsafeUnwrap();
    const entry = (await store.get("a"))._unsafeUnwrap();
    t.is(commit.type, "committed");
    t.like(entry, { key: "a", value: "ä \n €", revision: commit.revision });
  },
  "a list contains the keys with the prefix, sorted": async (t, { store }) => {
    for (const key of ["p/b", "p/a", "q/a", "p", "p0"]) {
      await put(store, key, key);
    }
    const listing = (await store.list("p/"))._unsafeUnwrap();
    t.deepEqual(listing.entries.map(({ key }) => key), ["p/a", "p/b"]);
    t.true(listing.revision >= (listing.entries[0]?.revision ?? Infinity));
  },
  "an empty prefix lists all keys": async (t, { store }) => {
    await put(store, "a", "1");
    await put(store, "ÿ", "2");
    t.is((await store.list(""))._unsafeUnwrap().entries.length, 2);
  },
  "a key is created only once": async (t, { store }) => {
    const create = () =>
      store.commit([{ key: "a", revision: 0 }], [
        { type: "put", key: "a", value: "1" },
      ]);
    const first = (await create())._unsafeUnwrap();
    const second = (await create())._unsafeUnwrap();
    t.deepEqual([first.type, second.type], ["committed", "conflict"]);
  },
  "a stale revision is a conflict": async (t, { store }) => {
    const { revision } = (await put(store, "a", "1"))._unsafeUnwrap();
    await put(store, "a", "2");
    const late = await store.commit([{ key: "a", revision }], [
      { type: "put", key: "a", value: "3" },
    ]);
    t.is(late._unsafeUnwrap().type, "conflict");
    t.is((await store.get("a"))._unsafeUnwrap()?.value, "2");
  },
  "a transaction writes all or nothing": async (t, { store }) => {
    const { revision } = (await put(store, "a", "1"))._unsafeUnwrap();
    const writes = [
      { type: "put", key: "b", value: "1" },
      { type: "delete", key: "a" },
    ] as const;
    const refused = await store.commit([
      { key: "a", revision },
      { key: "c", revision },
    ], writes);
    t.is(refused._unsafeUnwrap().type, "conflict");
    t.is((await store.get("b"))._unsafeUnwrap(), undefined);
    await store.commit([{ key: "a", revision }], writes);
    t.is((await store.get("a"))._unsafeUnwrap(), undefined);
    t.is((await store.get("b"))._unsafeUnwrap()?.value, "1");
  },
  "a value over the size limit is rejected": async (t, { store }) => {
    const large = await put(store, "a", "x".repeat(1_000_001));
    t.is(large._unsafeUnwrapErr().type, "storeValueTooLarge");
    const fits = await put(store, "a", "x".repeat(1_000_000));
    t.is(fits._unsafeUnwrap().type, "committed");
  },
  "a write whose response is lost may have taken effect": async (
    t,
    { store, loseNextResponse },
  ) => {
    await loseNextResponse();
    const lost = await put(store, "a", "1");
    t.is(lost._unsafeUnwrapErr().type, "storeAnswerLost");
    t.is((await store.get("a"))._unsafeUnwrap()?.value, "1");
  },
  "an expired lease removes its keys": async (t, { store }) => {
    const lease = (await store.grant(1))._unsafeUnwrap();
    await put(store, "a", "1", lease);
    await put(store, "b", "1");
    await eventually(async () =>
      (await store.get("a"))._unsafeUnwrap() === undefined
    );
    t.false((await store.renew(lease))._unsafeUnwrap());
    t.is((await store.get("b"))._unsafeUnwrap()?.value, "1");
  },
  "a renewed lease stays valid": async (t, { store }) => {
    const lease = (await store.grant(30))._unsafeUnwrap();
    t.true((await store.renew(lease))._unsafeUnwrap());
  },
  "a revoked lease removes its keys": async (t, { store }) => {
    const lease = (await store.grant(60))._unsafeUnwrap();
    await put(store, "a", "1", lease);
    t.true((await store.revoke(lease)).isOk());
    t.is((await store.get("a"))._unsafeUnwrap(), undefined);
    t.true((await store.revoke(lease)).isOk());
  },
  "a watch delivers past and new changes in order": async (t, { store }) => {
    const { revision } = (await put(store, "p/a", "1"))._unsafeUnwrap();
    await put(store, "q/a", "1");
    const seen: Change[] = [];
    const watch = store.watch("p/", revision, {
      changed: (changes) => seen.push(...changes),
      ended: (failure) => t.fail(failure.message),
    });
    await eventually(() => seen.length === 1);
    await store.commit([], [{ type: "delete", key: "p/a" }]);
    await eventually(() => seen.length === 2);
    watch.close();
    t.like(seen[0], { type: "put", entry: { key: "p/a", value: "1" } });
    t.like(seen[1], { type: "deleted", key: "p/a" });
  },
  "a closed watch delivers nothing": async (t, { store }) => {
    const watch = store.watch("", 1, {
      changed: () => t.fail("changed after close"),
      ended: () => t.fail("ended after close"),
    });
    watch.close();
    await put(store, "a", "1");
    t.is((await store.get("a"))._unsafeUnwrap()?.value, "1");
  },
};

for (const [name, open] of Object.entries(fixtures)) {
  for (const [title, run] of Object.entries(cases)) {
    test(`${name}: ${title}`, async (t) => {
      const fixture = await open();
      t.teardown(() => fixture.close());
      await run(t, fixture);
    });
  }
}

async function etcdFixture(): Promise<Fixture> {
  const service = new StandinStore();
  await service.listen();
  const store = new EtcdStore({
    address: service.address,
    clock: systemClock,
    timeoutMs: 20_000,
  });
  return {
    store,
    loseNextResponse: () => service.control({ loseAnswers: { next: 1 } }),
    close: async () => {
      await store.close();
      await service.close();
    },
  };
}

function memoryFixture(): Promise<Fixture> {
  const store = new MemoryStore(new MemoryService(systemClock));
  return Promise.resolve({
    store,
    loseNextResponse: () => {
      store.faults.lostReplies = 1;
      return Promise.resolve();
    },
    close: () => Promise.resolve(),
  });
}

function put(store: Store, key: string, value: string, lease?: string) {
  const leaseField = lease === undefined ? {} : { lease };
  return store.commit([], [{ type: "put", key, value, ...leaseField }]);
}
