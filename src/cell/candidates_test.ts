import test from "ava";
import { rankCandidates, successorsOf } from "./candidates.ts";
import type { Member } from "./cell_record.ts";

/** Time between the stops of two machines, milliseconds. */
const GAP_MS = 2_000;
/** Time from the stop of a machine until it is back, milliseconds. */
const AWAY_MS = 3_200;

/** Stops equal machines one after the other; counts how often the cell changes hands. */
function changesOf(count: number, firstHolder: number): number {
  const startedMs = Array.from({ length: count }, () => 0);
  const name = (index: number) => `m${index}`;
  let holder = firstHolder;
  let changes = 0;
  for (let stopped = 0; stopped < count; stopped++) {
    const nowMs = 1_000 + GAP_MS * stopped;
    startedMs[stopped] = nowMs + AWAY_MS;
    if (stopped !== holder) continue;
    const living = startedMs.flatMap((atMs, index): Member[] =>
      atMs > nowMs
        ? []
        : [{ name: name(index), address: "", cores: 1, startedMs: atMs }]
    );
    const ranked = rankCandidates(living, {
      self: undefined,
      holder: name(holder),
      fence: 1 + changes,
    });
    holder = Number(successorsOf(ranked, living)[0]!.slice(1));
    changes++;
  }
  return changes;
}

test("a rolling stop hands the cell to machines that are back", (t) => {
  for (let first = 0; first < 6; first++) {
    t.true(changesOf(6, first) <= 2, `first holder m${first}`);
  }
});

test("a stronger machine goes before one that started later", (t) => {
  const members: readonly Member[] = [
    { name: "old", address: "", cores: 2, startedMs: 1 },
    { name: "new", address: "", cores: 1, startedMs: 2 },
    { name: "untold", address: "", cores: 1 },
  ];
  const ranked = members.map(({ name }) => name).toReversed();
  t.deepEqual(successorsOf(ranked, members), ["old", "new", "untold"]);
});
