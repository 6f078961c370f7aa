import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { silentLog } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { FakeStore } from "./_fake_store_test.ts";
import type { StoreAnswer } from "./protocol.ts";
import { RelayedStore } from "./relayed_store.ts";

/** Peers that give one answer to every call. */
function peersThat(answer: StoreAnswer | "silent", calls: string[]): Peers {
  return {
    call: (peer: string) => {
      calls.push(peer);
      return answer === "silent"
        ? errAsync({ type: "peerSilent", message: "silent" })
        : okAsync(answer as never);
    },
    notify() {},
    serve() {},
    listen() {},
    onLost() {},
  } as Peers;
}

function failing(type: "storeBusy" | "storeAnswerLost"): FakeStore {
  const store = new FakeStore();
  store.commit = () => errAsync({ type, message: "direct" } as StoreFailure);
  return store;
}

function open(
  direct: FakeStore,
  answer: StoreAnswer | "silent",
): {
  readonly store: RelayedStore;
  readonly calls: string[];
  readonly clock: ManualClock;
} {
  const calls: string[] = [];
  const clock = new ManualClock();
  // Long after the start of the process.
  clock.advance(10_000);
  const store = new RelayedStore({
    direct,
    peers: peersThat(answer, calls),
    relays: () => ["peer-1"],
    clock,
    log: silentLog,
  });
  return { store, calls, clock };
}

const COMMITTED: StoreAnswer = { type: "committed", revision: 9 };
const BUSY: StoreAnswer = {
  type: "failure",
  failure: { type: "storeBusy", message: "relayed" },
};

test("the direct way is enough", async (t) => {
  const { store, calls } = open(new FakeStore(), COMMITTED);
  t.true((await store.commit([], [])).isOk());
  t.deepEqual(calls, []);
});

test("a store that turns this instance away is reached through another", async (t) => {
  const { store, calls } = open(failing("storeBusy"), COMMITTED);
  t.deepEqual((await store.commit([], []))._unsafeUnwrap(), COMMITTED);
  t.deepEqual(calls, ["peer-1"]);
});

test("one failure beside fresh answers takes no detour", async (t) => {
  const direct = failing("storeAnswerLost");
  const { store, calls } = open(direct, COMMITTED);
  store.observe("get", { failure: undefined, tookMs: 5 });
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeAnswerLost");
  store.observe("commit", { failure, tookMs: 300 });
  t.true((await store.get("key")).isOk());
  t.deepEqual(calls, []);
});

test("the detour ends with the first direct answer, which nobody waits for", async (t) => {
  const direct = new FakeStore();
  const { store, calls, clock } = open(direct, { type: "entry", entry: null });
  const failure = { type: "storeAnswerLost", message: "silent" } as const;
  store.observe("commit", { failure, tookMs: 300 });
  const asked: string[] = [];
  direct.get = (key) => {
    asked.push(key);
    return errAsync(failure);
  };
  for (let i = 0; i < 10; i++) {
    clock.advance(200);
    await store.get("key");
  }
  // Every call takes the detour, however long it lasts; probes are few.
  t.is(calls.length, 10);
  t.deepEqual([...new Set(asked)], ["probe"]);
  t.is(asked.length, 4);
  store.observe("get", { failure: undefined, tookMs: 5 });
  direct.get = () => okAsync(undefined);
  await store.get("key");
  t.is(calls.length, 10);
});

test("failures without a fresh answer take the detour", async (t) => {
  const direct = failing("storeAnswerLost");
  const { store, calls, clock } = open(direct, {
    type: "entry",
    entry: null,
  });
  store.observe("get", { failure: undefined, tookMs: 5 });
  clock.advance(400);
  const failure = { type: "storeAnswerLost", message: "silent" } as const;
  store.observe("commit", { failure, tookMs: 300 });
  t.true((await store.get("key")).isOk());
  t.deepEqual(calls, ["peer-1"]);
});

test("an answer that was lost is never told as nothing done", async (t) => {
  for (const relayed of [BUSY, "silent"] as const) {
    const { store } = open(failing("storeAnswerLost"), relayed);
    const failure = (await store.commit([], []))._unsafeUnwrapErr();
    t.is(failure.type, "storeAnswerLost");
  }
  const { store } = open(failing("storeBusy"), "silent");
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeAnswerLost");
});

test("busy everywhere is busy", async (t) => {
  const { store } = open(failing("storeBusy"), BUSY);
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeBusy");
});
