import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import {
  isRejectedForAdvice,
  isRejectedOnArrival,
  type RejectionReason,
  retryAfterS,
  storeWaitMs,
} from "./admission.ts";
import type { JobTiming } from "./backlog_order.ts";

const URGENT = testQueue({ priority: 0 });
const BATCH = testQueue({ priority: 2 });
/**
 * Time constraints of two kinds of submissions of the deployments,
 * milliseconds.
 */
const LOOKUP: JobTiming = { objectiveMs: 1_210, slackMs: 570 };
const MAP: JobTiming = { objectiveMs: 17_400, slackMs: 9_900 };

test("a submission waits for an unresponsive store for a share of its slack", (t) => {
  t.true(storeWaitMs(LOOKUP) <= 62.5);
  t.true(storeWaitMs(MAP) >= 900);
  t.true(storeWaitMs(MAP) <= 1_000);
  t.is(storeWaitMs({ objectiveMs: 0, slackMs: 0 }), 0);
});

const OUTAGE: readonly {
  readonly name: string;
  readonly stuckMs: number;
  readonly lookup: boolean;
  readonly map: boolean;
}[] = [
  { name: "the store responds", stuckMs: 0, lookup: false, map: false },
  { name: "a response is late", stuckMs: 100, lookup: false, map: false },
  {
    name: "the store is unreachable",
    stuckMs: 1_000,
    lookup: true,
    map: false,
  },
  {
    name: "the store has been unreachable for long",
    stuckMs: 5_000,
    lookup: true,
    map: false,
  },
  {
    name: "the store stays unreachable",
    stuckMs: 10_000,
    lookup: true,
    map: true,
  },
];

for (const { name, stuckMs, lookup, map } of OUTAGE) {
  test(`rejected on arrival: ${name}`, (t) => {
    t.is(isRejectedOnArrival(LOOKUP, stuckMs), lookup);
    t.is(isRejectedOnArrival(MAP, stuckMs), map);
  });
}

test("after an outage urgent clients retry before the others", (t) => {
  const reasons: readonly RejectionReason[] = ["storeAway", "overload"];
  for (const reason of reasons) {
    t.true(retryAfterS(reason, URGENT)! < retryAfterS(reason, BATCH)!);
  }
});

test("while the cell has no leader all clients retry after a second", (t) => {
  t.is(retryAfterS("noHolder", URGENT), 1);
  t.is(retryAfterS("noHolder", BATCH), 1);
});

test("no retry is announced for a submission whose job was canceled", (t) => {
  t.is(retryAfterS("canceled", URGENT), undefined);
});

test("a submission is rejected if its advice would take half of the time to settle", (t) => {
  t.false(isRejectedForAdvice(0, 14_000));
  t.false(isRejectedForAdvice(7_000, 14_000));
  t.true(isRejectedForAdvice(7_100, 14_000));
});
