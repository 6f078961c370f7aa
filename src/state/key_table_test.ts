import test from "ava";
import fc from "fast-check";
import type { Outcome } from "../types.ts";
import {
  KEY_LIMITS,
  type KeyLimits,
  KeyTable,
  type KeyUse,
} from "./key_table.ts";
import { keyTimeMs } from "./key_time.ts";

const SEED = 20260102;
const DAY = 86_400_000;
const START = 20_000 * DAY;
const { maxClockLeadMs, retentionMs, maxClockSkewMs } = KEY_LIMITS;
const UNCERTAIN_MS = maxClockSkewMs + maxClockLeadMs;

const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "eA==", worker: "w" },
};
const notRun: Outcome = { type: "notRun", reason: { type: "noOwner" } };

function newTable(
  completeSince = 0,
  limits: Partial<KeyLimits> = {},
): KeyTable {
  return new KeyTable({ ...KEY_LIMITS, ...limits }, {
    completeSince,
    forgottenUpTo: 0,
    rows: [],
  });
}

function use(request: string, key = "k", deadline = START + 30_000): KeyUse {
  return { team: "t", key, request, entry: "e", deadline };
}

function uuidAt(time: number): string {
  const hex = time.toString(16).padStart(12, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
}

test("the time of UUIDv7 and ULID keys is read", (t) => {
  t.is(keyTimeMs("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"), 1645557742000);
  t.is(keyTimeMs("01ARZ3NDEKTSV4RRFFQ69G5FAV"), 1469922850259);
  t.is(keyTimeMs("9b2d6a52-5f9c-4a0e-8f3e-1d2c3b4a5f60"), undefined);
  t.is(keyTimeMs("receipt-7"), undefined);
});

test("a repeated request gets the outcome of the first one", (t) => {
  const keys = newTable();
  t.is(keys.begin(use("1"), START).type, "fresh");
  t.is(keys.begin(use("2"), START).type, "inProgress");
  keys.finish(use("1"), done, START);
  t.deepEqual(keys.begin(use("2"), START), { type: "done", outcome: done });
});

test("a duplicate begin of the same request is fresh", (t) => {
  const keys = newTable();
  keys.begin(use("1"), START);
  t.is(keys.begin(use("1"), START).type, "fresh");
});

test("a request that did not run releases its key", (t) => {
  const keys = newTable();
  keys.begin(use("1"), START);
  keys.finish(use("1"), notRun, START);
  t.is(keys.begin(use("2"), START).type, "fresh");
});

test("a begin that arrives after the release of its request is rejected", (t) => {
  const keys = newTable();
  keys.finish(use("1"), notRun, START);
  t.is(keys.begin(use("1"), START).type, "withdrawn");
  t.is(keys.begin(use("2"), START).type, "fresh");
});

test("a late release does not release a key that another request uses", (t) => {
  const keys = newTable();
  keys.begin(use("1"), START);
  keys.finish(use("1"), notRun, START);
  keys.begin(use("2"), START);
  keys.finish(use("1"), notRun, START);
  t.is(keys.begin(use("3"), START).type, "inProgress");
});

test("a release at a new home does not make the key fresh", (t) => {
  const keys = newTable(START);
  keys.finish(use("1"), notRun, START + 1);
  t.is(keys.begin(use("2"), START + 2).type, "unknown");
});

const takeovers = [
  { name: "key without a time", key: "k", after: 1, type: "unknown" },
  {
    name: "key without a time after the retention",
    key: "k",
    after: retentionMs,
    type: "fresh",
  },
  {
    name: "key from before the takeover",
    key: uuidAt(START - 1),
    after: 1,
    type: "unknown",
  },
  {
    name: "key within the clock skew",
    key: uuidAt(START + UNCERTAIN_MS),
    after: UNCERTAIN_MS + 1,
    type: "unknown",
  },
  {
    name: "key from after the takeover",
    key: uuidAt(START + UNCERTAIN_MS + 1),
    after: UNCERTAIN_MS + 2,
    type: "fresh",
  },
  {
    name: "key ahead of all clocks",
    key: uuidAt(START + 60_000),
    after: 1,
    type: "clockAhead",
  },
  {
    name: "retry after the retention",
    key: uuidAt(START - retentionMs),
    after: retentionMs + 1,
    type: "unknown",
  },
] as const;

for (const { name, key, after, type } of takeovers) {
  test(`after a takeover: ${name}`, (t) => {
    t.is(newTable(START).begin(use("1", key), START + after).type, type);
  });
}

test("a key with a time ahead of the clock is accepted later", (t) => {
  const keys = newTable();
  const key = uuidAt(START + maxClockLeadMs + 500);
  const early = keys.begin(use("1", key), START);
  t.deepEqual(early, { type: "clockAhead", waitMs: 500 });
  t.is(keys.begin(use("1", key), START + 500).type, "fresh");
});

test("a handover keeps all keys", (t) => {
  const previous = newTable();
  previous.begin(use("1"), START);
  previous.finish(use("1"), done, START);
  const next = new KeyTable(KEY_LIMITS, previous.export());
  t.is(next.begin(use("2"), START).type, "done");
  t.is(next.begin(use("3", "other"), START).type, "fresh");
});

test("requests of a lost entry instance have an unknown outcome", (t) => {
  const keys = newTable();
  keys.begin(use("1"), START);
  keys.abandon("e", START);
  const answer = keys.begin(use("2"), START);
  t.is(answer.type === "done" && answer.outcome.type, "unknown");
  keys.finish(use("1"), done, START);
  t.deepEqual(keys.begin(use("3"), START), { type: "done", outcome: done });
});

test("a request past its deadline has an unknown outcome", (t) => {
  const keys = newTable();
  keys.begin(use("0", "ended"), START);
  keys.finish(use("0", "ended"), done, START);
  keys.begin(use("1"), START);
  const answer = keys.begin(use("2"), START + 30_001 + maxClockSkewMs);
  t.is(answer.type === "done" && answer.outcome.type, "unknown");
});

test("the number of keys is limited", (t) => {
  const keys = newTable(0, { maxKeys: 2 });
  const types = ["a", "b", "c"].map((key) =>
    keys.begin(use(key, key), START).type
  );
  t.deepEqual(types, ["fresh", "fresh", "full"]);
  keys.finish(use("a", "a"), done, START);
  t.is(keys.begin(use("d", "d"), START + retentionMs + 1).type, "fresh");
});

test("evicted keys with a time are not fresh again", (t) => {
  const keys = newTable(0, { maxKeys: 2 });
  const names = [1, 2, 3].map((ms) => uuidAt(START + ms));
  for (const key of names) {
    t.is(keys.begin(use(key, key), START + 10).type, "fresh");
    keys.finish(use(key, key), done, START + 10);
  }
  t.is(keys.begin(use("x", names[0]), START + 20).type, "unknown");
  t.is(keys.begin(use("x", names[2]), START + 20).type, "done");
  const next = new KeyTable(KEY_LIMITS, keys.export());
  t.is(next.begin(use("x", names[0]), START + 20).type, "unknown");
});

test("outcomes above the size limit are removed and their keys stay", (t) => {
  const keys = newTable(0, { maxTotalOutcomeChars: 500 });
  for (const key of ["a", "b", "c", "d"]) {
    keys.begin(use(key, key), START);
    keys.finish(use(key, key), done, START);
  }
  t.is(keys.begin(use("x", "a"), START).type, "unknown");
  t.is(keys.begin(use("x", "d"), START).type, "done");
});

const step = fc.oneof(
  fc.record({ type: fc.constant("begin" as const), request: fc.nat(5) }),
  fc.record({
    type: fc.constant("finish" as const),
    request: fc.nat(5),
    ran: fc.boolean(),
  }),
  fc.record({ type: fc.constant("wait" as const), ms: fc.nat(40_000) }),
  fc.record({ type: fc.constant("takeover" as const) }),
  fc.record({ type: fc.constant("handover" as const) }),
);

test("at most one request with a key runs in any order of events", (t) => {
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 60, size: "max" }),
      fc.constantFrom("k", uuidAt(START)),
      (steps, key) => {
        let now = START;
        let keys = newTable();
        const started = new Set<number>();
        const withdrawn = new Set<number>();
        for (const action of steps) {
          switch (action.type) {
            case "begin": {
              const answer = keys.begin(
                use(String(action.request), key, now + 30_000),
                now,
              );
              const acts = answer.type === "fresh" &&
                !withdrawn.has(action.request);
              if (acts) started.add(action.request);
              break;
            }
            case "finish": {
              const ran = action.ran && started.has(action.request);
              if (action.ran && !ran) break;
              if (!action.ran) {
                started.delete(action.request);
                withdrawn.add(action.request);
              }
              keys.finish(
                use(String(action.request), key, now + 30_000),
                ran ? done : notRun,
                now,
              );
              break;
            }
            case "wait":
              now += action.ms;
              break;
            case "takeover":
              keys = newTable(now);
              break;
            case "handover":
              keys = new KeyTable(KEY_LIMITS, keys.export());
              break;
          }
        }
        t.true(now < START + retentionMs * 2);
        if (now < START + retentionMs) t.true(started.size <= 1);
      },
    ),
    { seed: SEED, numRuns: 2000 },
  );
});
