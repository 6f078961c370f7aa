import test from "ava";
import fc from "fast-check";
import {
  hasReleaseQuorum,
  ReceivedConfirmations,
  VoterPromises,
} from "./continuation.ts";

const SEED = 20_263;
const TIMING = { confirmMs: 3_000, leaseMarginMs: 500 };
const HOLDER = { id: "h", registration: 1 };

test("a released registration is not confirmed again", (t) => {
  const promises = new VoterPromises(TIMING);
  t.deepEqual(promises.release(HOLDER, 0), { type: "released" });
  t.is(promises.confirm(HOLDER, 10), 0);
  t.is(promises.confirm({ id: "h", registration: 2 }, 10), 3_000);
});

test("a confirmed registration is released only after the confirmation has expired", (t) => {
  const promises = new VoterPromises(TIMING);
  promises.confirm(HOLDER, 100);
  t.deepEqual(promises.release(HOLDER, 3_100), { type: "wait", waitMs: 1 });
  t.deepEqual(promises.release(HOLDER, 3_101), { type: "released" });
});

test("a confirmation is valid from before its request was sent", (t) => {
  const confirmations = new ReceivedConfirmations(TIMING);
  const electorate = {
    voters: new Set(["h", "a", "b"]),
    joining: new Set<string>(),
  };
  confirmations.recordConfirmation("a", { sentAtMs: 0, forMs: 3_000 });
  t.true(confirmations.hasQuorum(electorate, { self: "h", nowMs: 2_499 }));
  t.false(confirmations.hasQuorum(electorate, { self: "h", nowMs: 2_500 }));
});

test("one of two voters is not a majority", (t) => {
  const confirmations = new ReceivedConfirmations(TIMING);
  const electorate = {
    voters: new Set(["h", "a"]),
    joining: new Set<string>(),
  };
  t.false(confirmations.hasQuorum(electorate, { self: "h", nowMs: 0 }));
});

/**
 * The holder counts voters and joining members. The instance that takes over
 * has a later map, in which the joining members vote and some voters are gone.
 */
test("a holder with enough confirmations is never taken over", (t) => {
  t.log(`seed ${SEED}`);
  const ids = ["h", "a", "b", "c", "d", "e", "f", "g"];
  const set = fc.subarray(ids);
  const message = fc.record({
    question: fc.constantFrom("confirm", "release"),
    to: fc.constantFrom(...ids),
    takesMs: fc.nat({ max: 1_500 }),
    waitMs: fc.nat({ max: 900 }),
  });
  const schedule = fc.array(message, { maxLength: 60 });
  fc.assert(
    fc.property(set, set, set, schedule, (voters, joining, gone, messages) => {
      const electorate = {
        voters: new Set(["h", ...voters]),
        joining: new Set(
          joining.filter((id) => !voters.includes(id) && id !== "h"),
        ),
      };
      const dead = new Set(gone.filter((id) => id !== "h"));
      const everyone = [...electorate.voters, ...electorate.joining];
      const takerVoters = new Set(everyone.filter((id) => !dead.has(id)));
      const promises = new Map(
        ids.map((id) => [id, new VoterPromises(TIMING)]),
      );
      const confirmations = new ReceivedConfirmations(TIMING);
      const released = new Set<string>();
      let nowMs = 0;
      for (const { question, to, takesMs, waitMs } of messages) {
        if (dead.has(to) || to === "h") continue;
        const promise = promises.get(to)!;
        const sentAtMs = nowMs;
        nowMs += takesMs;
        if (question === "confirm") {
          const forMs = promise.confirm(HOLDER, nowMs);
          if (forMs > 0) {
            confirmations.recordConfirmation(to, { sentAtMs, forMs });
          }
        } else if (promise.release(HOLDER, nowMs).type === "released") {
          released.add(to);
        }
        const holds = confirmations.hasQuorum(electorate, {
          self: "h",
          nowMs,
        });
        if (holds && hasReleaseQuorum(takerVoters, released)) return false;
        nowMs += waitMs;
      }
      return true;
    }),
    { seed: SEED, numRuns: 20_000 },
  );
  t.pass();
});
