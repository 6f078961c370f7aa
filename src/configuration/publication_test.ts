import { Buffer } from "node:buffer";
import { errAsync } from "neverthrow";
import test, { type ExecutionContext } from "ava";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import type { Commit } from "../ports/store.ts";
import type { PublishFailure, ReadFailure } from "./failures.ts";
import { CHUNK_BYTES, chunkKey, HEAD_KEY, historyKey } from "./head.ts";
import {
  HISTORY_KEPT,
  publish,
  readHistory,
  readPast,
  readPublication,
} from "./publication.ts";

interface Bench {
  readonly clock: ManualClock;
  readonly service: MemoryService;
  readonly store: MemoryStore;
}

function bench(): Bench {
  const clock = new ManualClock();
  const service = new MemoryService(clock);
  return { clock, service, store: new MemoryStore(service) };
}

async function send(
  { clock, store }: Bench,
  edit: { base: number; text?: string; operator?: string; id?: string },
) {
  const { base, text = `[team t${base}]`, operator = "ana" } = edit;
  const publishId = edit.id ?? `${operator}-${base}`;
  const request = { base, text, operator, publishId, clock };
  const result = publish(store, { ...request, random: () => 0 });
  await clock.run(20_000, 100);
  return await result;
}

async function inForce(t: ExecutionContext, store: MemoryStore) {
  const publication = (await readPublication(store))._unsafeUnwrap();
  t.truthy(publication);
  return publication!;
}

test("nothing published", async (t) => {
  const { store } = bench();
  t.is((await readPublication(store))._unsafeUnwrap(), undefined);
});

test("publishes and reads back", async (t) => {
  const b = bench();
  const published = (await send(b, { base: 0 }))._unsafeUnwrap();
  t.deepEqual(await inForce(t, b.store), published);
  t.is(published.number, 1);
});

test("refuses an edit of an older publication", async (t) => {
  const b = bench();
  const first = (await send(b, { base: 0, operator: "ana" }))._unsafeUnwrap();
  const failure = (await send(b, { base: 0, operator: "bat" }))
    ._unsafeUnwrapErr();
  t.like(failure, {
    type: "publishConflict",
    base: 0,
    number: 1,
    operator: "ana",
    at: first.at,
  });
});

test("refuses an edit of a publication to come", async (t) => {
  const failure = (await send(bench(), { base: 3 }))._unsafeUnwrapErr();
  t.is(failure.type, "publishConflict");
});

test("a refused large text leaves nothing behind", async (t) => {
  const b = bench();
  const other = { ...b, store: new MemoryStore(b.service) };
  const text = "x".repeat(2 * CHUNK_BYTES);
  b.store.faults.latencyMs = 500;
  const large = send(b, { base: 0, text, operator: "bat" });
  await send(other, { base: 0, operator: "ana" });
  t.is((await large)._unsafeUnwrapErr().type, "publishConflict");
  t.is(b.service.rows.size, 3);
});

test("one of racing operators wins", async (t) => {
  const b = bench();
  const stores = Array.from({ length: 8 }, () => new MemoryStore(b.service));
  const results = await Promise.all(
    stores.map((store, index) =>
      send({ ...b, store }, { base: 0, operator: `op${index}` })
    ),
  );
  const winners = results.filter((result) => result.isOk());
  t.is(winners.length, 1);
  const { operator } = await inForce(t, b.store);
  t.is(winners[0]?._unsafeUnwrap().operator, operator);
  for (const result of results.filter((other) => other.isErr())) {
    t.like(result._unsafeUnwrapErr(), { type: "publishConflict", operator });
  }
});

test("a lost answer is settled by reading back", async (t) => {
  const b = bench();
  b.store.faults.loseAnswers = 1;
  t.true((await send(b, { base: 0 })).isOk());
  t.is((await inForce(t, b.store)).number, 1);
});

test("a lost answer is settled after others have published", async (t) => {
  const b = bench();
  const other = { ...b, store: new MemoryStore(b.service) };
  b.store.faults.loseAnswers = 1;
  const { clock, store } = b;
  const mine = publish(store, {
    base: 0,
    text: "[team a]",
    operator: "ana",
    publishId: "mine",
    clock,
  });
  await new Promise(setImmediate);
  t.true((await send(other, { base: 1, operator: "bat" })).isOk());
  t.is((await mine)._unsafeUnwrap().publishId, "mine");
  t.is((await inForce(t, store)).number, 2);
});

test("a lost answer of the same request sent again publishes once", async (t) => {
  const b = bench();
  await send(b, { base: 0, id: "same" });
  t.is((await send(b, { base: 0, id: "same" }))._unsafeUnwrap().number, 1);
  t.is(b.service.rows.get(historyKey(2)), undefined);
});

test("a refused swap after a lost answer is a conflict", async (t) => {
  const b = bench();
  class Dropping extends MemoryStore {
    override commit(): ReturnType<MemoryStore["commit"]> {
      return errAsync({ type: "storeAnswerLost", message: "dropped" });
    }
  }
  const store = new Dropping(b.service);
  const { clock } = b;
  const mine = publish(store, {
    base: 0,
    text: "",
    operator: "ana",
    publishId: "mine",
    clock,
  });
  await new Promise(setImmediate);
  await send(b, { base: 0, operator: "bat" });
  t.like((await mine)._unsafeUnwrapErr(), {
    type: "publishConflict",
    operator: "bat",
  });
});

interface Outage {
  readonly name: string;
  readonly fault: Partial<MemoryStore["faults"]>;
  /** Absent if the set is published all the same. */
  readonly type?: PublishFailure["type"];
}

const outages: readonly Outage[] = [
  { name: "away", fault: { away: true }, type: "storeUnreachable" },
  { name: "busy", fault: { budget: 0 }, type: "storeBusy" },
  { name: "mute", fault: { loseAnswers: 99 } },
  {
    name: "mute, then away",
    fault: { budget: 3, loseAnswers: 1 },
    type: "publishUnsettled",
  },
];

for (const { name, fault, type } of outages) {
  test(`store ${name}`, async (t) => {
    const b = bench();
    Object.assign(b.store.faults, fault);
    const result = await send(b, { base: 0 });
    t.is(result.isErr() ? result.error.type : undefined, type);
  });
}

test("publishes once the store is back", async (t) => {
  const b = bench();
  b.store.cut();
  b.clock.after(500, () => b.store.heal());
  t.true((await send(b, { base: 0 })).isOk());
});

test("parts a large text without tearing characters", async (t) => {
  const b = bench();
  const text = "; цаас €\n".repeat(200_000);
  await send(b, { base: 0, text });
  t.is((await inForce(t, b.store)).text, text);
  for (const row of b.service.rows.values()) {
    t.true(Buffer.byteLength(row.value) <= CHUNK_BYTES);
  }
});

test("refuses a text past all chunks", async (t) => {
  const text = "x".repeat(16 * CHUNK_BYTES + 1);
  const failure = (await send(bench(), { base: 0, text }))._unsafeUnwrapErr();
  t.is(failure.type, "textTooLarge");
});

test("the history is bounded and old texts go", async (t) => {
  const b = bench();
  for (let base = 0; base < HISTORY_KEPT + 3; base++) await send(b, { base });
  const heads = (await readHistory(b.store))._unsafeUnwrap();
  t.is(heads.length, HISTORY_KEPT);
  t.is(heads[0]?.number, 4);
  t.is((await readPast(b.store, 3))._unsafeUnwrap(), undefined);
  t.is((await readPast(b.store, 4))._unsafeUnwrap()?.text, "[team t3]");
  t.is(b.service.rows.size, 2 * HISTORY_KEPT + 1);
});

const damages: readonly {
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
    name: "head that is no JSON",
    damage: [{ type: "put", key: HEAD_KEY, value: "{" }],
    type: "headMalformed",
  },
  {
    name: "head without a number",
    damage: [{ type: "put", key: HEAD_KEY, value: "{}" }],
    type: "headMalformed",
  },
];

for (const { name, damage, type } of damages) {
  test(`reading refuses: ${name}`, async (t) => {
    const b = bench();
    await send(b, { base: 0 });
    const commit: Commit = b.service.apply([], damage);
    t.is(commit.type, "committed");
    t.is((await readPublication(b.store))._unsafeUnwrapErr().type, type);
  });
}
