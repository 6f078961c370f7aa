import test from "ava";
import { zeroResources } from "../resources.ts";
import {
  AGE_ORDER_MAX_WAIT_MS,
  AGED_AFTER_MS,
  type Candidate,
  DeferredStartCredit,
  HANDOVER_AGE_PENALTY_MS,
  selectNext,
  toPeerCandidate,
} from "./selection.ts";
import { entitlements, Shares } from "./shares.ts";

/** Time after which the average of past usage has converged to present usage. */
const CONVERGED_MS = 100_000;
const fleet = { ...zeroResources, slots: 100 };

function candidate(name: string, extra: Partial<Candidate> = {}): Candidate {
  return {
    team: name,
    workload: name,
    urgency: "urgent",
    need: { ...zeroResources, slots: 1 },
    arrivedAtMs: 0,
    ...extra,
  };
}

function sharesOf(usage: Record<string, number>): Shares {
  const shares = new Shares();
  shares.setCapacity(fleet);
  for (const [team, slots] of Object.entries(usage)) {
    shares.setUsage(team, { ...zeroResources, slots });
  }
  shares.advance(CONVERGED_MS);
  return shares;
}

function options(usage: Record<string, number> = {}) {
  return {
    shares: sharesOf(usage),
    hasCapacity: () => true,
    nowMs: AGE_ORDER_MAX_WAIT_MS,
  };
}

const cases: {
  name: string;
  candidates: Candidate[];
  usage?: Record<string, number>;
  expected: string;
}[] = [
  {
    name: "urgent work runs before deferred work",
    candidates: [
      candidate("a", { urgency: "deferred", arrivedAtMs: -9 }),
      candidate("b"),
    ],
    expected: "b",
  },
  {
    name: "teams within their share run before teams above it",
    candidates: [candidate("a", { arrivedAtMs: -9 }), candidate("b")],
    usage: { a: 60, b: 10 },
    expected: "b",
  },
  {
    name: "of teams above their share, the one with the lowest runs first",
    candidates: [candidate("a", { arrivedAtMs: -9 }), candidate("b")],
    usage: { a: 50, b: 40, c: 1 },
    expected: "b",
  },
  {
    name: "of teams within their share, the oldest work runs first",
    candidates: [candidate("a", { arrivedAtMs: -9 }), candidate("b")],
    usage: { a: 30, b: 10, c: 60 },
    expected: "a",
  },
  {
    name: "at equal shares, the oldest work runs first",
    candidates: [candidate("a"), candidate("b", { arrivedAtMs: -9 })],
    expected: "b",
  },
  {
    name: "urgent work within the initial wait is ordered by arrival",
    candidates: [
      candidate("a", { arrivedAtMs: 1 }),
      candidate("b", { arrivedAtMs: 2 }),
    ],
    usage: { a: 90, b: 10 },
    expected: "a",
  },
  {
    name: "late deferred work runs before other deferred work",
    candidates: [
      candidate("a", { urgency: "deferred", arrivedAtMs: -9 }),
      candidate("b", { urgency: "deferred", dueAtMs: 1 }),
    ],
    usage: { a: 1, b: 2, c: 90 },
    expected: "b",
  },
  {
    name: "late work of a team above its share has no precedence",
    candidates: [
      candidate("a", { urgency: "deferred" }),
      candidate("b", { urgency: "deferred", dueAtMs: 1 }),
    ],
    usage: { a: 10, b: 90 },
    expected: "a",
  },
];

for (const { name, candidates, usage, expected } of cases) {
  test(`selection: ${name}`, (t) => {
    t.is(selectNext(candidates, options(usage))?.team, expected);
    t.is(selectNext(candidates.toReversed(), options(usage))?.team, expected);
  });
}

test("selection: candidates without free capacity are skipped", (t) => {
  const large = candidate("a", { need: fleet, arrivedAtMs: -9 });
  const hasCapacity = (need: typeof fleet) => need.slots <= 1;
  const chosen = selectNext([large, candidate("b")], {
    ...options(),
    hasCapacity,
  });
  t.is(chosen?.team, "b");
  t.is(selectNext([large], { ...options(), hasCapacity }), undefined);
});

test("selection: aged deferred work gets exactly its guaranteed fraction of starts", (t) => {
  const counts = { urgent: 0, deferred: 0 };
  const deferredCredit = new DeferredStartCredit();
  const waiting = [
    candidate("a"),
    candidate("b", { urgency: "deferred", arrivedAtMs: -2 * AGED_AFTER_MS }),
  ];
  for (let i = 0; i < 1_000; i++) {
    counts[
      selectNext(waiting, { ...options(), deferredCredit })!.urgency
    ]++;
  }
  t.deepEqual(counts, { urgent: 980, deferred: 20 });
});

test("selection: ages in a peer's backlog are converted to local times", (t) => {
  const { arrivedAtMs, dueAtMs, ...rest } = candidate("a", { dueAtMs: 0 });
  const backlog = { ...rest, count: 2, oldestArrivedAgoMs: 30, dueInMs: 5 };
  const local = toPeerCandidate(backlog, {
    origin: "p",
    receivedAtMs: 100,
    jitterMs: 3,
  });
  t.is(local.arrivedAtMs, 73 + arrivedAtMs + HANDOVER_AGE_PENALTY_MS.urgent);
  t.is(local.dueAtMs, 108 + dueAtMs! + HANDOVER_AGE_PENALTY_MS.urgent);
});

test("shares: rank is usage divided by weight", (t) => {
  const shares = sharesOf({ a: 20, b: 30 });
  t.true(shares.compare("a", "b") < 0);
  shares.setWeights(new Map([["b", 3]]));
  t.true(shares.compare("a", "b") > 0);
});

test("shares: past usage counts until its average has decayed", (t) => {
  const shares = sharesOf({ a: 50, b: 0 });
  shares.setUsage("a", zeroResources);
  t.true(shares.compare("a", "b") > 0);
  shares.advance(3 * CONVERGED_MS);
  t.true(shares.rank("a") < 1e-9);
});

test("shares: charge and refund cancel out", (t) => {
  const shares = sharesOf({ a: 5 });
  shares.charge("a", fleet);
  shares.refund("a", fleet);
  t.deepEqual(shares.usage("a"), { ...zeroResources, slots: 5 });
});

test("entitlements: what a team doesn't demand is divided among the others", (t) => {
  const parts = entitlements(
    new Map([
      ["a", { weight: 2, demand: 0.1 }],
      ["b", { weight: 1, demand: 1 }],
      ["c", { weight: 2, demand: 1 }],
    ]),
  );
  t.is(parts.get("a"), 0.1);
  t.true(Math.abs(parts.get("b")! - 0.3) < 1e-9);
  t.true(Math.abs(parts.get("c")! - 0.6) < 1e-9);
});
