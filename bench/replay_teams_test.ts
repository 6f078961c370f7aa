import test from "ava";
import { CROWDED, HOT_TEAMS_BURST, NEAR_LIMITS } from "./model/team_loads.ts";
import { replay } from "./replay.ts";

/** Part of the day's credit that the worst tenth of the teams is to get; source: the target in docs/design/hard_load.md. */
const WORST_PART = 0.65;
const SEEDS = [1, 2, 3];

for (const load of [HOT_TEAMS_BURST, NEAR_LIMITS]) {
  test(`${load.name}: no team is left far behind the others`, async (t) => {
    let worst = 0;
    let all = 0;
    for (const seed of SEEDS) {
      const { credit, world } = await replay({ sheet: CROWDED, load }, seed);
      t.is(world.workers.overfilled, 0);
      worst += credit.shareOfWorstTenth;
      all += credit.share;
    }
    t.true(worst >= WORST_PART * all, `${worst} of ${all}`);
  });
}

for (const seed of SEEDS) {
  test(`urgent steps seldom wait at their team's limit behind deferrable work, seed ${seed}`, async (t) => {
    const { credit } = await replay(
      { sheet: CROWDED, load: NEAR_LIMITS },
      seed,
    );
    t.true(credit.shareOf("checks") >= 0.985, String(credit.shareOf("checks")));
    const waitedMs = credit.waitedMs.get("checks teamLimit") ?? 0;
    t.true(waitedMs < 40_000, String(waitedMs));
  });
}
