import test from "ava";
import { LOAD_PATTERNS } from "./model/load_patterns.ts";
import { LARGE } from "./model/deployment_profiles.ts";
import { replay } from "./replay.ts";

/** Minimum share of the possible credit in the most demanding seconds; source: the users' target for days with trouble. */
const TARGET = 0.66;
const SEED = 1;

for (const load of LOAD_PATTERNS) {
  test(`${load.name}: credit meets its target and no worker is overcommitted`, async (t) => {
    const { credit, harness } = await replay({ profile: LARGE, load }, SEED);
    t.is(harness.workers.overcommitted, 0);
    t.true(credit.creditShare >= TARGET, String(credit.creditShare));
    t.true(
      credit.creditShareOfOthers >= TARGET,
      String(credit.creditShareOfOthers),
    );
  });
}
