import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import {
  isHopeless,
  patienceMs,
  type RefusalReason,
  retryAfterS,
} from "./admission.ts";

const URGENT = testQueue({ priority: 0, objectiveMs: 250 });
const BATCH = testQueue({ priority: 2, objectiveMs: 3_000 });

test("a submission waits for a silent store for a part of its objective", (t) => {
  t.is(patienceMs(URGENT), 42.5);
  t.is(patienceMs(BATCH), 600);
  t.is(patienceMs(testQueue({ objectiveMs: 0 })), 0);
});

const OUTAGE: readonly {
  readonly name: string;
  readonly stuckMs: number;
  readonly urgent: boolean;
  readonly batch: boolean;
}[] = [
  { name: "the store answers", stuckMs: 0, urgent: false, batch: false },
  { name: "an answer is late", stuckMs: 30, urgent: false, batch: false },
  { name: "it has just gone", stuckMs: 100, urgent: true, batch: false },
  { name: "it is away", stuckMs: 2_000, urgent: true, batch: true },
];

for (const { name, stuckMs, urgent, batch } of OUTAGE) {
  test(`refused as it comes: ${name}`, (t) => {
    t.is(isHopeless(URGENT, stuckMs), urgent);
    t.is(isHopeless(BATCH, stuckMs), batch);
  });
}

test("after an outage urgent clients come back before the others", (t) => {
  const reasons: readonly RefusalReason[] = ["storeAway", "overload"];
  for (const reason of reasons) {
    t.true(retryAfterS(reason, URGENT) < retryAfterS(reason, BATCH));
  }
});

test("while the cell changes hands all come back after a second", (t) => {
  t.is(retryAfterS("noHolder", URGENT), 1);
  t.is(retryAfterS("noHolder", BATCH), 1);
});
