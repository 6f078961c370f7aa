import test from "ava";
import { orderSuccessors, rankCandidates } from "./candidates.ts";
import type { Member } from "./leader_record.ts";

/** Interval between the stops of two machines, milliseconds. */
const STOP_INTERVAL_MS = 2_000;
/** Time from the stop of a machine until it has restarted, milliseconds. */
const DOWNTIME_MS = 3_200;

/** Restarts equal machines one after the other; returns how often the leader changes. */
function leaderChanges(count: number, firstLeader: number): number {
  const startedMs = Array.from({ length: count }, () => 0);
  const name = (index: number) => `m${index}`;
  let leader = firstLeader;
  let changes = 0;
  for (let stopped = 0; stopped < count; stopped++) {
    const nowMs = 1_000 + STOP_INTERVAL_MS * stopped;
    startedMs[stopped] = nowMs + DOWNTIME_MS;
    if (stopped !== leader) continue;
    const running = startedMs.flatMap((atMs, index): Member[] =>
      atMs > nowMs
        ? []
        : [{ name: name(index), address: "", cores: 1, startedMs: atMs }]
    );
    const ranked = rankCandidates(running, {
      self: undefined,
      leader: name(leader),
      fence: 1 + changes,
    });
    leader = Number(orderSuccessors(ranked, running)[0]!.slice(1));
    changes++;
  }
  return changes;
}

test("a rolling restart changes the leader at most twice", (t) => {
  for (let first = 0; first < 6; first++) {
    t.true(leaderChanges(6, first) <= 2, `first leader m${first}`);
  }
});

test("a stronger machine precedes one that started later", (t) => {
  const members: readonly Member[] = [
    { name: "old", address: "", cores: 2, startedMs: 1 },
    { name: "new", address: "", cores: 1, startedMs: 2 },
    { name: "untold", address: "", cores: 1 },
  ];
  const ranked = members.map(({ name }) => name).toReversed();
  t.deepEqual(orderSuccessors(ranked, members), ["old", "new", "untold"]);
});
