import test from "ava";
import { SHIFTED, SHIFTED_EVACUATED } from "./model/deployment_profiles.ts";
import { LOAD_PATTERNS, SCARCE } from "./model/load_patterns.ts";
import { replay } from "./replay.ts";

/** Minimum share of the possible credit; source: the users' target for the days with trouble of this deployment. */
const TARGET = 0.76;
const SEEDS = [1, 2, 3, 4];

test("gangs earn the target while an evacuated zone leaves too few workers", async (t) => {
  let gangs = 0;
  for (const seed of SEEDS) {
    const { credit, harness } = await replay(
      { profile: SHIFTED_EVACUATED, load: SCARCE },
      seed,
    );
    t.is(harness.workers.overcommitted, 0);
    t.true(credit.creditShare >= TARGET, String(credit.creditShare));
    gangs += credit.creditShareOf("billing") / SEEDS.length;
  }
  t.true(gangs >= TARGET, String(gangs));
});

for (const load of LOAD_PATTERNS) {
  test(`shifted work, ${load.name}: credit meets its target`, async (t) => {
    const { credit, harness } = await replay({ profile: SHIFTED, load }, 1);
    t.is(harness.workers.overcommitted, 0);
    t.true(credit.creditShare >= TARGET, String(credit.creditShare));
  });
}
