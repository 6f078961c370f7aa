import test from "ava";
import {
  CROWDED,
  HOT_TEAMS_BURST,
  NEAR_LIMITS,
} from "./model/team_load_patterns.ts";
import { replay } from "./replay.ts";

/** Minimum credit share of the worst tenth of the teams over that of all; source: the target in docs/design/hard_load.md. */
const WORST_PART = 0.65;
const SEEDS = [1, 2, 3];

for (const load of [HOT_TEAMS_BURST, NEAR_LIMITS]) {
  test(`${load.name}: the worst tenth of the teams earns its minimum credit`, async (t) => {
    let worst = 0;
    let all = 0;
    for (const seed of SEEDS) {
      const { credit, harness } = await replay(
        { profile: CROWDED, load },
        seed,
      );
      t.is(harness.workers.overcommitted, 0);
      worst += credit.creditShareOfWorstTenth;
      all += credit.creditShare;
    }
    t.true(worst >= WORST_PART * all, `${worst} of ${all}`);
  });
}

for (const seed of SEEDS) {
  test(`urgent steps seldom wait for their team's limit behind deferrable work, seed ${seed}`, async (t) => {
    const { credit } = await replay(
      { profile: CROWDED, load: NEAR_LIMITS },
      seed,
    );
    t.true(
      credit.creditShareOf("checks") >= 0.985,
      String(credit.creditShareOf("checks")),
    );
    const waitedMs = credit.waitedMs.get("checks teamLimit") ?? 0;
    t.true(waitedMs < 40_000, String(waitedMs));
  });
}
