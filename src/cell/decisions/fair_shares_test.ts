import test from "ava";
import type { Team } from "../types.ts";
import { FairShares, isAbove, isShort, outwaits } from "./fair_shares.ts";

function team(name: string, weight: number): Team {
  const limit = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };
  return { name, keys: [], weight, limit };
}

/** Shares after the teams have used so many cores for eight seconds. */
function after(cores: Readonly<Record<string, number>>): FairShares {
  const shares = new FairShares();
  const running = new Map(
    Object.entries(cores).map(([name, count]) => [name, count * 1_000]),
  );
  for (let nowMs = 0; nowMs <= 8_000; nowMs += 100) shares.note(running, nowMs);
  return shares;
}

function above(shares: FairShares, teams: readonly Team[]): readonly string[] {
  return [...shares.sharesOf(teams).values()].filter(isAbove)
    .map((share) => share.team);
}

test("two hot teams that use more than their part stand behind the others", (t) => {
  const shares = after({ hot: 60, hotter: 90, small: 5, other: 10 });
  const teams = ["hot", "hotter", "small", "other"].map((name) =>
    team(name, 10)
  );
  t.deepEqual(above(shares, teams), ["hot", "hotter"]);
});

test("a large team with a large weight is not above its share", (t) => {
  const shares = after({ large: 80, small: 20 });
  t.deepEqual(above(shares, [team("large", 8), team("small", 1)]), ["small"]);
});

test("equal use by equal teams puts nobody behind, and neither does a new holder", (t) => {
  const teams = ["a", "b", "c"].map((name) => team(name, 1));
  t.deepEqual(above(after({ a: 10, b: 10, c: 10 }), teams), []);
  t.deepEqual(above(new FairShares(), teams), []);
});

test("what a team without waiting steps leaves of its share is lent", (t) => {
  const shares = after({ idle: 1, a: 45, b: 50 });
  const waiting = [team("a", 1), team("b", 1)];
  t.deepEqual(above(shares, waiting), []);
  t.true(Math.abs(shares.sharesOf(waiting).get("a")!.due - 0.5) < 1e-9);
});

test("a burst is forgotten within seconds", (t) => {
  const shares = after({ hot: 90, other: 10 });
  const now = new Map([["hot", 10_000], ["other", 50_000]]);
  for (let nowMs = 8_100; nowMs <= 18_000; nowMs += 100) {
    shares.note(now, nowMs);
  }
  const teams = [team("hot", 1), team("other", 1)];
  t.deepEqual(above(shares, teams), ["other"]);
});

test("teams without a weight have no share", (t) => {
  const shares = after({ a: 90, b: 10 });
  t.is(shares.sharesOf([team("a", 0), team("b", 0)]).size, 0);
});

test("a service with a tenth of its processors free is not short", (t) => {
  t.false(isShort({ cpuMillis: 100_000, usedMillis: 90_000 }));
  t.true(isShort({ cpuMillis: 100_000, usedMillis: 90_001 }));
  t.false(isShort({ cpuMillis: 0, usedMillis: 0 }));
});

test("a step of a team above its share is not held back for ever", (t) => {
  t.false(outwaits(5_000, 10_000));
  t.true(outwaits(5_001, 10_000));
});
