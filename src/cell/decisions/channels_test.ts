import test from "ava";
import type { AdvicePolicy } from "../types.ts";
import {
  channelsFor,
  durationClassOf,
  maxRequestWorkers,
  queueDurationClass,
} from "./channels.ts";

const CHANNELS = Array.from({ length: 97 }, (_, index) => `i${index}`);

/** Durations of advice requests on the deployments, milliseconds. */
const POLICIES: readonly AdvicePolicy[] = [
  { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 },
  { baseMs: 200, perWorkerMs: 2, ticketMs: 1_500 },
  { baseMs: 22.9, perWorkerMs: 0.23, ticketMs: 1_500 },
  { baseMs: 80, perWorkerMs: 1.1, ticketMs: 2_500 },
  { baseMs: 5.6, perWorkerMs: 0.08, ticketMs: 2_500 },
];

test("slow requests leave channels to the other classes", (t) => {
  const slow = new Set(channelsFor(CHANNELS, "slow"));
  const medium = channelsFor(CHANNELS, "medium").filter((channel) =>
    !slow.has(channel)
  );
  const quick = channelsFor(CHANNELS, "quick").filter((channel) =>
    !slow.has(channel)
  );
  t.true(medium.length >= 97 / 10);
  t.true(quick.length >= 97 / 3);
});

test("quick and medium requests prefer channels that slow ones don't use", (t) => {
  const slow = new Set(channelsFor(CHANNELS, "slow"));
  t.false(slow.has(channelsFor(CHANNELS, "quick")[0]!));
  t.false(slow.has(channelsFor(CHANNELS, "medium")[0]!));
});

test("a single channel takes requests of all classes", (t) => {
  for (const durationClass of ["quick", "medium", "slow"] as const) {
    t.deepEqual(channelsFor(["i0"], durationClass), ["i0"]);
  }
});

test("the largest request of a queue stays in the queue's duration class", (t) => {
  for (const policy of POLICIES) {
    const maxWorkers = maxRequestWorkers(policy);
    const longestMs = policy.baseMs + maxWorkers * policy.perWorkerMs;
    t.is(
      durationClassOf(longestMs),
      queueDurationClass(policy),
      JSON.stringify(policy),
    );
    t.true(maxWorkers >= 10 && maxWorkers <= 100);
  }
});
