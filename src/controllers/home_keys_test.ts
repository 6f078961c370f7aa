import test from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryNetwork } from "../fakes/memory_peers.ts";
import { silentLog } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import { KEY_LIMITS } from "../state/key_memory.ts";
import type { Instance, Outcome } from "../types.ts";
import { beginKeyCall, finishKeyCall } from "../wire/keys.ts";
import { HomeKeyGuard } from "./home_key_guard.ts";
import { HomeKeys, type KeyVerdict } from "./home_keys.ts";

const SETTLE_MS = 3000;
const KEY = { team: "t", key: "receipt-7" };

const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "eA==", worker: "w" },
};
const notRun: Outcome = { type: "notRun", reason: { type: "isolated" } };

/** An ownership map with one owner for every home. */
class OneOwner {
  owner = "a";
  fence: number | undefined = 1;
  /** Fence of the owner before; 0 if there was none. */
  former = 0;
  readonly paused = new Set<string>();
  readonly #listeners: (() => void)[] = [];

  /** Gives the homes to another owner, `steps` maps later. */
  move(owner: string, { former = this.fence ?? 0, steps = 1 } = {}): void {
    this.owner = owner;
    this.fence = (this.fence ?? 0) + steps;
    this.former = former;
    for (const listener of this.#listeners) listener();
  }

  /** What an instance sees; one that is paused sees what it saw before. */
  viewOf(self: string): Authority {
    let seen = { owner: this.owner, fence: this.fence, former: this.former };
    const look = () => {
      if (this.paused.has(self)) return seen;
      const { owner, fence, former } = this;
      return seen = { owner, fence, former };
    };
    return {
      hasValidLease: () => !this.paused.has(self),
      mayDecide: () => !this.paused.has(self) && look().owner === self,
      owned: () => [],
      ownerOf: () =>
        look().fence === undefined ? undefined : instance(look().owner),
      fenceOf: () => look().fence,
      previousFenceOf: () => look().former,
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

class Bench {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock);
  readonly map = new OneOwner();
  readonly #names: string[] = [];
  #ids = 0;

  join(self: string) {
    this.#names.push(self);
    const peers = this.network.join(self);
    const authority = this.map.viewOf(self);
    const keys = new HomeKeys({
      self,
      peers,
      clock: this.clock,
      limits: KEY_LIMITS,
      callMs: 500,
      authority,
      log: silentLog,
      members: () => this.#names.filter((name) => name !== self),
      newId: () => `r${this.#ids++}`,
    });
    return { keys, peers };
  }

  begin(keys: HomeKeys, key = KEY): Promise<KeyVerdict> {
    const deadline = this.clock.now().getTime() + 30_000;
    return this.settle(keys.begin(key, deadline));
  }

  async proceed(keys: HomeKeys, key = KEY) {
    const verdict = await this.begin(keys, key);
    if (verdict.type !== "proceed") throw new TypeError(verdict.type);
    return verdict.use;
  }

  /** Lets the homes vouch for keys without a time. */
  async vouch(): Promise<void> {
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

test("a repeat at another entry gets the answer", async (t) => {
  const bench = new Bench();
  const [a, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  t.is((await bench.begin(c!.keys)).type, "inProgress");
  await bench.settle(b!.keys.finish(use, done));
  t.deepEqual(await bench.begin(c!.keys), { type: "answer", outcome: done });
  t.deepEqual(await bench.begin(a!.keys), { type: "answer", outcome: done });
});

const beginnings = [
  { name: "its first", former: 0, outcome: "proceed" },
  { name: "another", former: 1, outcome: "unknown" },
];

for (const { name, former, outcome } of beginnings) {
  test(`a home without an owner is given ${name} one`, async (t) => {
    const bench = new Bench();
    bench.map.fence = undefined;
    const [a, b] = ["a", "b"].map((name) => bench.join(name));
    t.is(outcomeType(await bench.begin(b!.keys)), "notRun");
    bench.map.move("a", { former, steps: 2 });
    t.is(outcomeType(await bench.begin(a!.keys)), outcome);
  });
}

test("the guard keeps to one run and does not wait for the home", async (t) => {
  const bench = new Bench();
  const [, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  const guard = new HomeKeyGuard(b!.keys, bench.clock);
  const begin = () => bench.settle(guard.begin(KEY.team, KEY.key));
  t.deepEqual(await begin(), { type: "fresh" });
  t.deepEqual(await begin(), { type: "inProgress" });
  bench.network.cut("a", "b");
  await guard.finish(KEY.team, KEY.key, done);
  bench.network.heal("a", "b");
  await bench.clock.run(SETTLE_MS);
  t.deepEqual(await begin(), { type: "ended", outcome: done });
});

test("a killed home leaves unknown", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  await bench.proceed(b!.keys);
  bench.network.crash("a");
  bench.map.move("c");
  t.is(outcomeType(await bench.begin(b!.keys)), "unknown");
  t.is(outcomeType(await bench.begin(c!.keys)), "unknown");
});

test("a new home learns the outcome from the entry", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  await bench.settle(b!.keys.finish(use, done));
  bench.network.crash("a");
  bench.map.move("c");
  t.deepEqual(await bench.begin(c!.keys), { type: "answer", outcome: done });
});

test("an ending reaches the home that took over", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  bench.network.crash("a");
  const finishing = b!.keys.finish(use, done);
  await bench.clock.run(300);
  bench.map.move("c");
  await bench.settle(finishing);
  bench.network.crash("b");
  t.deepEqual(await bench.begin(c!.keys), { type: "answer", outcome: done });
});

test("a handover keeps the memory", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  await bench.proceed(b!.keys);
  bench.map.move("c");
  t.is((await bench.begin(b!.keys)).type, "inProgress");
  const other = { team: "t", key: "receipt-8" };
  t.is((await bench.begin(c!.keys, other)).type, "proceed");
});

test("a handover keeps the memory across maps that changed other units", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  bench.map.move("c", { steps: 3 });
  t.is((await bench.begin(b!.keys)).type, "inProgress");
  await bench.settle(b!.keys.finish(use, done));
  t.deepEqual(await bench.begin(c!.keys), { type: "answer", outcome: done });
});

test("a key waits for a memory that is on its way", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  await bench.settle(b!.keys.finish(use, done));
  const other = await bench.proceed(b!.keys, { team: "t", key: "receipt-8" });
  bench.network.latencyMs = 40;
  bench.map.move("c");
  const early = c!.keys.begin({ team: "t", key: other.key }, 30_000);
  t.is((await bench.settle(early)).type, "inProgress");
});

test("a leaving home knows when its memories have arrived", async (t) => {
  const bench = new Bench();
  const [a] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  bench.network.latencyMs = 40;
  let arrived = false;
  bench.map.move("c");
  const leaving = a!.keys.handedOver().then(() => arrived = true);
  await bench.clock.run(10);
  t.false(arrived);
  await bench.settle(leaving);
  t.true(arrived);
});

test("a memory with a gap behind it is not taken up", async (t) => {
  const bench = new Bench();
  const [, b, c] = ["a", "b", "c"].map((name) => bench.join(name));
  await bench.vouch();
  // Somebody whom neither of them saw had the home in between.
  bench.map.move("c", { former: 2, steps: 2 });
  t.is(outcomeType(await bench.begin(b!.keys)), "unknown");
  t.is(outcomeType(await bench.begin(c!.keys)), "unknown");
});

test("a home that was paused lets nothing through", async (t) => {
  const bench = new Bench();
  const [a, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  bench.map.paused.add("a");
  bench.map.move("b");
  const direct = await bench.settle(Promise.resolve(b!.peers.call(
    "a",
    beginKeyCall,
    {
      params: { ...KEY, request: "x", entry: "b", deadline: 0 },
      timeoutMs: 500,
    },
  )));
  t.is(direct._unsafeUnwrap().type, "notHome");
  t.is(outcomeType(await bench.begin(a!.keys)), "notRun");
  bench.map.paused.delete("a");
  t.is(outcomeType(await bench.begin(a!.keys)), "unknown");
});

test("a silent home is refused and the key stays free", async (t) => {
  const bench = new Bench();
  const [, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  bench.network.cut("a", "b");
  t.is(outcomeType(await bench.begin(b!.keys)), "notRun");
  bench.network.heal("a", "b");
  await bench.clock.run(20_000, 100);
  t.is((await bench.begin(b!.keys)).type, "proceed");
});

test("a late begin does not hold the key", async (t) => {
  const bench = new Bench();
  const [, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  bench.network.latencyMs = 2000;
  t.is(outcomeType(await bench.begin(b!.keys)), "notRun");
  bench.network.latencyMs = 0;
  await bench.clock.run(20_000, 100);
  t.is((await bench.begin(b!.keys)).type, "proceed");
});

test("messages doubled and crossed", async (t) => {
  const bench = new Bench();
  const [, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  const send = (outcome: Outcome) =>
    bench.settle(Promise.resolve(b!.peers.call("a", finishKeyCall, {
      params: { use, outcome },
      timeoutMs: 500,
    })));
  const begin = () =>
    bench.settle(Promise.resolve(b!.peers.call("a", beginKeyCall, {
      params: use,
      timeoutMs: 500,
    })));
  t.is((await begin())._unsafeUnwrap().type, "fresh");
  await send(done);
  await send(done);
  await send(notRun);
  t.is((await begin())._unsafeUnwrap().type, "done");
  t.is(outcomeType(await bench.begin(b!.keys)), "done");
});

test("a request that did not run frees its key", async (t) => {
  const bench = new Bench();
  const [, b] = ["a", "b"].map((name) => bench.join(name));
  await bench.vouch();
  const use = await bench.proceed(b!.keys);
  await bench.settle(b!.keys.finish(use, notRun));
  t.is((await bench.begin(b!.keys)).type, "proceed");
});
