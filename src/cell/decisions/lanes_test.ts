import test from "ava";
import type { AdvicePolicy } from "../types.ts";
import { lanesFor, maxRequestWorkers, paceOf, paceOfQueue } from "./lanes.ts";

const LANES = Array.from({ length: 97 }, (_, index) => `i${index}`);

/** What questions cost on the deployments, milliseconds. */
const POLICIES: readonly AdvicePolicy[] = [
  { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 },
  { baseMs: 200, perWorkerMs: 2, ticketMs: 1_500 },
  { baseMs: 22.9, perWorkerMs: 0.23, ticketMs: 1_500 },
  { baseMs: 80, perWorkerMs: 1.1, ticketMs: 2_500 },
  { baseMs: 5.6, perWorkerMs: 0.08, ticketMs: 2_500 },
];

test("a burst of slow questions leaves lanes to the others", (t) => {
  const slow = new Set(lanesFor(LANES, "slow"));
  const medium = lanesFor(LANES, "medium").filter((lane) => !slow.has(lane));
  const quick = lanesFor(LANES, "quick").filter((lane) => !slow.has(lane));
  t.true(medium.length >= 97 / 10);
  t.true(quick.length >= 97 / 3);
});

test("quick and medium questions begin where slow ones do not", (t) => {
  const slow = new Set(lanesFor(LANES, "slow"));
  t.false(slow.has(lanesFor(LANES, "quick")[0]!));
  t.false(slow.has(lanesFor(LANES, "medium")[0]!));
});

test("a single instance carries all questions", (t) => {
  for (const pace of ["quick", "medium", "slow"] as const) {
    t.deepEqual(lanesFor(["i0"], pace), ["i0"]);
  }
});

test("no question outgrows the lanes that it was chosen for", (t) => {
  for (const policy of POLICIES) {
    const most = maxRequestWorkers(policy);
    const longestMs = policy.baseMs + most * policy.perWorkerMs;
    t.is(paceOf(longestMs), paceOfQueue(policy), JSON.stringify(policy));
    t.true(most >= 10 && most <= 100);
  }
});
