import test from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryNetwork } from "../fakes/memory_peers.ts";
import { silentLog } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import { KEY_LIMITS } from "../state/key_table.ts";
import type { Instance, Outcome } from "../types.ts";
import { beginKeyCall, finishKeyCall } from "../wire/keys.ts";
import { IdempotencyKeyGuard } from "./idempotency_key_guard.ts";
import { IdempotencyKeys, type KeyVerdict } from "./idempotency_keys.ts";

const SETTLE_MS = 3000;
const KEY = { team: "t", key: "receipt-7" };

const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "eA==", worker: "w" },
};
const notRun: Outcome = { type: "notRun", reason: { type: "isolated" } };

/** An ownership map in which one instance owns every home. */
class SingleOwnerMap {
  owner = "a";
  fence: number | undefined = 1;
  /** Fence of the previous owner; 0 if there was none. */
  previousFence = 0;
  readonly paused = new Set<string>();
  readonly #listeners: (() => void)[] = [];

  /** Moves the homes to another owner; the map's fence grows by `steps`. */
  move(
    owner: string,
    { previousFence = this.fence ?? 0, steps = 1 } = {},
  ): void {
    this.owner = owner;
    this.fence = (this.fence ?? 0) + steps;
    this.previousFence = previousFence;
    for (const listener of this.#listeners) listener();
  }

  /**
   * The map as an instance sees it. A paused instance sees the state before its
   * pause.
   */
  viewOf(self: string): Authority {
    let seen = {
      owner: this.owner,
      fence: this.fence,
      previousFence: this.previousFence,
    };
    const observe = () => {
      if (this.paused.has(self)) return seen;
      const { owner, fence, previousFence } = this;
      return seen = { owner, fence, previousFence };
    };
    return {
      hasValidLease: () => !this.paused.has(self),
      mayDecide: () => !this.paused.has(self) && observe().owner === self,
      owned: () => [],
      ownerOf: () =>
        observe().fence === undefined ? undefined : instance(observe().owner),
      fenceOf: () => observe().fence,
      previousFenceOf: () => observe().previousFence,
      onChange: (listener) => {
        this.#listeners.push(() => {
          if (!this.paused.has(self)) listener();
        });
      },
    };
  }
}

function instance(id: string): Instance {
  return { id, peerAddress: "", callerAddress: "", zone: "z" };
}

class TestCluster {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock);
  readonly map = new SingleOwnerMap();
  readonly #names: string[] = [];
  #ids = 0;

  join(self: string) {
    this.#names.push(self);
    const peers = this.network.join(self);
    const authority = this.map.viewOf(self);
    const keys = new IdempotencyKeys({
      self,
      peers,
      clock: this.clock,
      limits: KEY_LIMITS,
      callTimeoutMs: 500,
      authority,
      log: silentLog,
      members: () => this.#names.filter((name) => name !== self),
      newId: () => `r${this.#ids++}`,
    });
    return { keys, peers };
  }

  begin(keys: IdempotencyKeys, key = KEY): Promise<KeyVerdict> {
    const deadline = this.clock.now().getTime() + 30_000;
    return this.settle(keys.begin(key, deadline));
  }

  async proceed(keys: IdempotencyKeys, key = KEY) {
    const verdict = await this.begin(keys, key);
    if (verdict.type !== "proceed") throw new TypeError(verdict.type);
    return verdict.use;
  }

  /** Advances the clock until the homes vouch for keys without a time. */
  async advanceUntilVouched(): Promise<void> {
    this.clock.advance(KEY_LIMITS.retentionMs);
    await this.clock.run(10);
  }

  async settle<T>(pending: Promise<T>): Promise<T> {
    await this.clock.run(SETTLE_MS, 50);
    return await pending;
  }
}

function outcomeType(verdict: KeyVerdict): string {
  return verdict.type === "answer" ? verdict.outcome.type : verdict.type;
}

test("a repeated request at another entry gets the recorded answer", async (t) => {
  const cluster = new TestCluster();
  const [a, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  t.is((await cluster.begin(c!.keys)).type, "inProgress");
  await cluster.settle(b!.keys.finish(use, done));
  t.deepEqual(await cluster.begin(c!.keys), { type: "answer", outcome: done });
  t.deepEqual(await cluster.begin(a!.keys), { type: "answer", outcome: done });
});

const beginnings = [
  { name: "its first", previousFence: 0, outcome: "proceed" },
  { name: "another", previousFence: 1, outcome: "unknown" },
];

for (const { name, previousFence, outcome } of beginnings) {
  test(`a home without an owner gets ${name} owner`, async (t) => {
    const cluster = new TestCluster();
    cluster.map.fence = undefined;
    const [a, b] = ["a", "b"].map((name) => cluster.join(name));
    t.is(outcomeType(await cluster.begin(b!.keys)), "notRun");
    cluster.map.move("a", { previousFence, steps: 2 });
    t.is(outcomeType(await cluster.begin(a!.keys)), outcome);
  });
}

test("the guard allows one run and does not wait for the home", async (t) => {
  const cluster = new TestCluster();
  const [, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const guard = new IdempotencyKeyGuard(b!.keys, cluster.clock);
  const begin = () => cluster.settle(guard.begin(KEY.team, KEY.key));
  t.deepEqual(await begin(), { type: "fresh" });
  t.deepEqual(await begin(), { type: "inProgress" });
  cluster.network.cut("a", "b");
  await guard.finish(KEY.team, KEY.key, done);
  cluster.network.heal("a", "b");
  await cluster.clock.run(SETTLE_MS);
  t.deepEqual(await begin(), { type: "ended", outcome: done });
});

test("keys of a crashed home are unknown", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  await cluster.proceed(b!.keys);
  cluster.network.crash("a");
  cluster.map.move("c");
  t.is(outcomeType(await cluster.begin(b!.keys)), "unknown");
  t.is(outcomeType(await cluster.begin(c!.keys)), "unknown");
});

test("a new home gets the outcome from the entry", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  await cluster.settle(b!.keys.finish(use, done));
  cluster.network.crash("a");
  cluster.map.move("c");
  t.deepEqual(await cluster.begin(c!.keys), { type: "answer", outcome: done });
});

test("an outcome is reported to the home that took over", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  cluster.network.crash("a");
  const finishing = b!.keys.finish(use, done);
  await cluster.clock.run(300);
  cluster.map.move("c");
  await cluster.settle(finishing);
  cluster.network.crash("b");
  t.deepEqual(await cluster.begin(c!.keys), { type: "answer", outcome: done });
});

test("a handover keeps the key table", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  await cluster.proceed(b!.keys);
  cluster.map.move("c");
  t.is((await cluster.begin(b!.keys)).type, "inProgress");
  const other = { team: "t", key: "receipt-8" };
  t.is((await cluster.begin(c!.keys, other)).type, "proceed");
});

test("a handover keeps the key table across map changes of other units", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  cluster.map.move("c", { steps: 3 });
  t.is((await cluster.begin(b!.keys)).type, "inProgress");
  await cluster.settle(b!.keys.finish(use, done));
  t.deepEqual(await cluster.begin(c!.keys), { type: "answer", outcome: done });
});

test("a key waits for a key table that is being handed over", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  await cluster.settle(b!.keys.finish(use, done));
  const other = await cluster.proceed(b!.keys, { team: "t", key: "receipt-8" });
  cluster.network.latencyMs = 40;
  cluster.map.move("c");
  const early = c!.keys.begin({ team: "t", key: other.key }, 30_000);
  t.is((await cluster.settle(early)).type, "inProgress");
});

test("a leaving home is notified when its key tables have arrived", async (t) => {
  const cluster = new TestCluster();
  const [a] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  cluster.network.latencyMs = 40;
  let arrived = false;
  cluster.map.move("c");
  const leaving = a!.keys.handoversCompleted().then(() => arrived = true);
  await cluster.clock.run(10);
  t.false(arrived);
  await cluster.settle(leaving);
  t.true(arrived);
});

test("a key table is discarded if another instance was the home in between", async (t) => {
  const cluster = new TestCluster();
  const [, b, c] = ["a", "b", "c"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  // Another instance owned the home in between, unseen by a and c.
  cluster.map.move("c", { previousFence: 2, steps: 2 });
  t.is(outcomeType(await cluster.begin(b!.keys)), "unknown");
  t.is(outcomeType(await cluster.begin(c!.keys)), "unknown");
});

test("a paused home lets no request proceed", async (t) => {
  const cluster = new TestCluster();
  const [a, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  cluster.map.paused.add("a");
  cluster.map.move("b");
  const direct = await cluster.settle(Promise.resolve(b!.peers.call(
    "a",
    beginKeyCall,
    {
      params: { ...KEY, request: "x", entry: "b", deadline: 0 },
      timeoutMs: 500,
    },
  )));
  t.is(direct._unsafeUnwrap().type, "notHome");
  t.is(outcomeType(await cluster.begin(a!.keys)), "notRun");
  cluster.map.paused.delete("a");
  t.is(outcomeType(await cluster.begin(a!.keys)), "unknown");
});

test("a request is not run while the home is silent, and its key stays free", async (t) => {
  const cluster = new TestCluster();
  const [, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  cluster.network.cut("a", "b");
  t.is(outcomeType(await cluster.begin(b!.keys)), "notRun");
  cluster.network.heal("a", "b");
  await cluster.clock.run(20_000, 100);
  t.is((await cluster.begin(b!.keys)).type, "proceed");
});

test("a begin message that arrives late does not occupy the key", async (t) => {
  const cluster = new TestCluster();
  const [, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  cluster.network.latencyMs = 2000;
  t.is(outcomeType(await cluster.begin(b!.keys)), "notRun");
  cluster.network.latencyMs = 0;
  await cluster.clock.run(20_000, 100);
  t.is((await cluster.begin(b!.keys)).type, "proceed");
});

test("duplicate and reordered messages do not change the recorded outcome", async (t) => {
  const cluster = new TestCluster();
  const [, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  const send = (outcome: Outcome) =>
    cluster.settle(Promise.resolve(b!.peers.call("a", finishKeyCall, {
      params: { use, outcome },
      timeoutMs: 500,
    })));
  const begin = () =>
    cluster.settle(Promise.resolve(b!.peers.call("a", beginKeyCall, {
      params: use,
      timeoutMs: 500,
    })));
  t.is((await begin())._unsafeUnwrap().type, "fresh");
  await send(done);
  await send(done);
  await send(notRun);
  t.is((await begin())._unsafeUnwrap().type, "done");
  t.is(outcomeType(await cluster.begin(b!.keys)), "done");
});

test("a request that did not run frees its key", async (t) => {
  const cluster = new TestCluster();
  const [, b] = ["a", "b"].map((name) => cluster.join(name));
  await cluster.advanceUntilVouched();
  const use = await cluster.proceed(b!.keys);
  await cluster.settle(b!.keys.finish(use, notRun));
  t.is((await cluster.begin(b!.keys)).type, "proceed");
});
