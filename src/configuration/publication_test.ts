import { Buffer } from "node:buffer";
import { errAsync } from "neverthrow";
import test, { type ExecutionContext } from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import type { CommitResult } from "../ports/store.ts";
import type { PublishFailure, ReadFailure } from "./failures.ts";
import { CHUNK_BYTES, chunkKey, HEAD_KEY, historyKey } from "./head.ts";
import {
  HISTORY_LENGTH,
  publish,
  readHistory,
  readPast,
  readPublication,
} from "./publication.ts";

interface Setup {
  readonly clock: ManualClock;
  readonly service: MemoryService;
  readonly store: MemoryStore;
}

function setUp(): Setup {
  const clock = new ManualClock();
  const service = new MemoryService(clock);
  return { clock, service, store: new MemoryStore(service) };
}

async function edit(
  { clock, store }: Setup,
  options: { base: number; text?: string; operator?: string; id?: string },
) {
  const { base, text = `[team t${base}]`, operator = "ana" } = options;
  const publishId = options.id ?? `${operator}-${base}`;
  const request = { base, text, operator, publishId, clock };
  const result = publish(store, { ...request, random: () => 0 });
  await clock.run(20_000, 100);
  return await result;
}

async function readActive(t: ExecutionContext, store: MemoryStore) {
  const publication = (await readPublication(store))._unsafeUnwrap();
  t.truthy(publication);
  return publication!;
}

test("reading before the first publication", async (t) => {
  const { store } = setUp();
  t.is((await readPublication(store))._unsafeUnwrap(), undefined);
});

test("a published set can be read", async (t) => {
  const s = setUp();
  const published = (await edit(s, { base: 0 }))._unsafeUnwrap();
  t.deepEqual(await readActive(t, s.store), published);
  t.is(published.number, 1);
});

test("an edit of an older publication is a conflict", async (t) => {
  const s = setUp();
  const first = (await edit(s, { base: 0, operator: "ana" }))._unsafeUnwrap();
  const failure = (await edit(s, { base: 0, operator: "bat" }))
    ._unsafeUnwrapErr();
  t.like(failure, {
    type: "publishConflict",
    base: 0,
    number: 1,
    operator: "ana",
    at: first.at,
  });
});

test("an edit of a publication that does not exist yet is a conflict", async (t) => {
  const failure = (await edit(setUp(), { base: 3 }))._unsafeUnwrapErr();
  t.is(failure.type, "publishConflict");
});

test("a large text that loses the race leaves no chunks in the store", async (t) => {
  const s = setUp();
  const other = { ...s, store: new MemoryStore(s.service) };
  const text = "x".repeat(2 * CHUNK_BYTES);
  s.store.faults.latencyMs = 500;
  const large = edit(s, { base: 0, text, operator: "bat" });
  await edit(other, { base: 0, operator: "ana" });
  t.is((await large)._unsafeUnwrapErr().type, "publishConflict");
  t.is(s.service.rows.size, 3);
});

test("one of several concurrent publishers wins", async (t) => {
  const s = setUp();
  const stores = Array.from({ length: 8 }, () => new MemoryStore(s.service));
  const results = await Promise.all(
    stores.map((store, index) =>
      edit({ ...s, store }, { base: 0, operator: `op${index}` })
    ),
  );
  const winners = results.filter((result) => result.isOk());
  t.is(winners.length, 1);
  const { operator } = await readActive(t, s.store);
  t.is(winners[0]?._unsafeUnwrap().operator, operator);
  for (const result of results.filter((other) => other.isErr())) {
    t.like(result._unsafeUnwrapErr(), { type: "publishConflict", operator });
  }
});

test("after a lost response, reading back shows that the set was published", async (t) => {
  const s = setUp();
  s.store.faults.lostReplies = 1;
  t.true((await edit(s, { base: 0 })).isOk());
  t.is((await readActive(t, s.store)).number, 1);
});

test("after a lost response, the set is found in the history behind later publications", async (t) => {
  const s = setUp();
  const other = { ...s, store: new MemoryStore(s.service) };
  s.store.faults.lostReplies = 1;
  const { clock, store } = s;
  const mine = publish(store, {
    base: 0,
    text: "[team a]",
    operator: "ana",
    publishId: "mine",
    clock,
  });
  await new Promise(setImmediate);
  t.true((await edit(other, { base: 1, operator: "bat" })).isOk());
  t.is((await mine)._unsafeUnwrap().publishId, "mine");
  t.is((await readActive(t, store)).number, 2);
});

test("a request that is sent twice publishes once", async (t) => {
  const s = setUp();
  await edit(s, { base: 0, id: "same" });
  t.is((await edit(s, { base: 0, id: "same" }))._unsafeUnwrap().number, 1);
  t.is(s.service.rows.get(historyKey(2)), undefined);
});

test("a concurrent publication after a lost response is a conflict", async (t) => {
  const s = setUp();
  class Dropping extends MemoryStore {
    override commit(): ReturnType<MemoryStore["commit"]> {
      return errAsync({ type: "storeAnswerLost", message: "dropped" });
    }
  }
  const store = new Dropping(s.service);
  const { clock } = s;
  const mine = publish(store, {
    base: 0,
    text: "",
    operator: "ana",
    publishId: "mine",
    clock,
  });
  await new Promise(setImmediate);
  await edit(s, { base: 0, operator: "bat" });
  t.like((await mine)._unsafeUnwrapErr(), {
    type: "publishConflict",
    operator: "bat",
  });
});

interface Outage {
  readonly name: string;
  readonly faults: Partial<MemoryStore["faults"]>;
  /** Type of the failure; absent if the set is published. */
  readonly type?: PublishFailure["type"];
}

const outages: readonly Outage[] = [
  {
    name: "unreachable",
    faults: { unreachable: true },
    type: "storeUnreachable",
  },
  {
    name: "over its call quota",
    faults: { remainingCalls: 0 },
    type: "storeBusy",
  },
  { name: "losing all responses", faults: { lostReplies: 99 } },
  {
    name: "losing a response, then over its call quota",
    faults: { remainingCalls: 3, lostReplies: 1 },
    type: "publishUnsettled",
  },
];

for (const { name, faults, type } of outages) {
  test(`publishing to a store that is ${name}`, async (t) => {
    const s = setUp();
    Object.assign(s.store.faults, faults);
    const result = await edit(s, { base: 0 });
    t.is(result.isErr() ? result.error.type : undefined, type);
  });
}

test("publishing succeeds once the store is reachable again", async (t) => {
  const s = setUp();
  s.store.cut();
  s.clock.after(500, () => s.store.heal());
  t.true((await edit(s, { base: 0 })).isOk());
});

test("a large text is split at character boundaries", async (t) => {
  const s = setUp();
  const text = "; цаас €\n".repeat(200_000);
  await edit(s, { base: 0, text });
  t.is((await readActive(t, s.store)).text, text);
  for (const row of s.service.rows.values()) {
    t.true(Buffer.byteLength(row.value) <= CHUNK_BYTES);
  }
});

test("a text larger than all chunks is rejected", async (t) => {
  const text = "x".repeat(16 * CHUNK_BYTES + 1);
  const failure = (await edit(setUp(), { base: 0, text }))._unsafeUnwrapErr();
  t.is(failure.type, "textTooLarge");
});

test("the history is bounded and expired texts are deleted", async (t) => {
  const s = setUp();
  for (let base = 0; base < HISTORY_LENGTH + 3; base++) await edit(s, { base });
  const heads = (await readHistory(s.store))._unsafeUnwrap();
  t.is(heads.length, HISTORY_LENGTH);
  t.is(heads[0]?.number, 4);
  t.is((await readPast(s.store, 3))._unsafeUnwrap(), undefined);
  t.is((await readPast(s.store, 4))._unsafeUnwrap()?.text, "[team t3]");
  t.is(s.service.rows.size, 2 * HISTORY_LENGTH + 1);
});

const damagedPublications: readonly {
  name: string;
  damage: Parameters<MemoryService["apply"]>[1];
  type: ReadFailure["type"];
}[] = [
  {
    name: "missing chunk",
    damage: [{ type: "delete", key: chunkKey("ana-0", 0) }],
    type: "textMissing",
  },
  {
    name: "wrong chunk",
    damage: [{ type: "put", key: chunkKey("ana-0", 0), value: "[team x]" }],
    type: "textMismatch",
  },
  {
    name: "head that is not JSON",
    damage: [{ type: "put", key: HEAD_KEY, value: "{" }],
    type: "headMalformed",
  },
  {
    name: "head without a number",
    damage: [{ type: "put", key: HEAD_KEY, value: "{}" }],
    type: "headMalformed",
  },
];

for (const { name, damage, type } of damagedPublications) {
  test(`reading a damaged publication: ${name}`, async (t) => {
    const s = setUp();
    await edit(s, { base: 0 });
    const commit: CommitResult = s.service.apply([], damage);
    t.is(commit.type, "committed");
    t.is((await readPublication(s.store))._unsafeUnwrapErr().type, type);
  });
}
