import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { silentLog } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { FakeStore } from "./_fake_store_test.ts";
import type { StoreRelayReply } from "./protocol.ts";
import { RelayedStore } from "./relayed_store.ts";

/** Peers that give the same reply to every call; appends the called peers to `calls`. */
function fakePeers(reply: StoreRelayReply | "silent", calls: string[]): Peers {
  return {
    call: (peer: string) => {
      calls.push(peer);
      return reply === "silent"
        ? errAsync({ type: "peerSilent", message: "silent" })
        : okAsync(reply as never);
    },
    notify() {},
    serve() {},
    onNotification() {},
    onDisconnect() {},
  } as Peers;
}

function failingStore(type: "storeBusy" | "storeAnswerLost"): FakeStore {
  const store = new FakeStore();
  store.commit = () => errAsync({ type, message: "direct" } as StoreFailure);
  return store;
}

function open(
  direct: FakeStore,
  reply: StoreRelayReply | "silent",
): {
  readonly store: RelayedStore;
  readonly calls: string[];
  readonly clock: ManualClock;
} {
  const calls: string[] = [];
  const clock = new ManualClock();
  // The process has been running for long.
  clock.advance(10_000);
  const store = new RelayedStore({
    direct,
    peers: fakePeers(reply, calls),
    relays: () => ["peer-1"],
    clock,
    log: silentLog,
  });
  return { store, calls, clock };
}

const COMMITTED: StoreRelayReply = { type: "committed", revision: 9 };
const BUSY: StoreRelayReply = {
  type: "failure",
  failure: { type: "storeBusy", message: "relayed" },
};

test("a direct answer needs no relay", async (t) => {
  const { store, calls } = open(new FakeStore(), COMMITTED);
  t.true((await store.commit([], [])).isOk());
  t.deepEqual(calls, []);
});

test("a store that is busy for this instance is called through a relay", async (t) => {
  const { store, calls } = open(failingStore("storeBusy"), COMMITTED);
  t.deepEqual((await store.commit([], []))._unsafeUnwrap(), COMMITTED);
  t.deepEqual(calls, ["peer-1"]);
});

test("one failure shortly after an answer uses no relay", async (t) => {
  const direct = failingStore("storeAnswerLost");
  const { store, calls } = open(direct, COMMITTED);
  store.observe("get", { failure: undefined, tookMs: 5 });
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeAnswerLost");
  store.observe("commit", { failure, tookMs: 300 });
  t.true((await store.get("key")).isOk());
  t.deepEqual(calls, []);
});

test("relaying ends with the first answer to a probe", async (t) => {
  const direct = new FakeStore();
  const { store, calls, clock } = open(direct, { type: "entry", entry: null });
  const failure = { type: "storeAnswerLost", message: "silent" } as const;
  store.observe("commit", { failure, tookMs: 300 });
  const directKeys: string[] = [];
  direct.get = (key) => {
    directKeys.push(key);
    return errAsync(failure);
  };
  for (let i = 0; i < 10; i++) {
    clock.advance(200);
    await store.get("key");
  }
  // Every call is relayed, and probes are sent at most every 500 ms.
  t.is(calls.length, 10);
  t.deepEqual([...new Set(directKeys)], ["probe"]);
  t.is(directKeys.length, 4);
  store.observe("get", { failure: undefined, tookMs: 5 });
  direct.get = () => okAsync(undefined);
  await store.get("key");
  t.is(calls.length, 10);
});

test("a failure without a recent answer switches to the relay", async (t) => {
  const direct = failingStore("storeAnswerLost");
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

test("a lost answer is never reported as a failure without effect", async (t) => {
  for (const relayed of [BUSY, "silent"] as const) {
    const { store } = open(failingStore("storeAnswerLost"), relayed);
    const failure = (await store.commit([], []))._unsafeUnwrapErr();
    t.is(failure.type, "storeAnswerLost");
  }
  const { store } = open(failingStore("storeBusy"), "silent");
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeAnswerLost");
});

test("a store that is busy directly and through the relay is reported as busy", async (t) => {
  const { store } = open(failingStore("storeBusy"), BUSY);
  const failure = (await store.commit([], []))._unsafeUnwrapErr();
  t.is(failure.type, "storeBusy");
});
