import test from "ava";
import {
  HOT_BURST,
  LOAD_PATTERNS,
  LOST_RESPONSES,
} from "./model/load_patterns.ts";
import { PICOS } from "./model/deployment_profiles.ts";
import { replay } from "./replay.ts";

/** Minimum share of the possible credit in the most demanding seconds; source: the project's target for days with trouble. */
const TARGET = 0.82;
const SEEDS = [1, 2, 3];

for (const load of LOAD_PATTERNS) {
  test(`${load.name}: credit meets its target and no worker is overcommitted`, async (t) => {
    const { credit, harness } = await replay(
      { profile: PICOS, load },
      SEEDS[0]!,
    );
    t.is(harness.workers.overcommitted, 0);
    t.true(credit.creditShare >= TARGET, String(credit.creditShare));
    t.true(
      credit.creditShareOfOthers >= TARGET,
      String(credit.creditShareOfOthers),
    );
  });
}

for (const seed of SEEDS) {
  test(`urgent work gets advice while a hot team sends a burst, seed ${seed}`, async (t) => {
    const { credit } = await replay({ profile: PICOS, load: HOT_BURST }, seed);
    const lookups = credit.creditShareOf("lookups");
    t.true(lookups >= TARGET, String(lookups));
  });
}

for (const seed of SEEDS) {
  test(`starts with a lost response are confirmed and workers stay in use, seed ${seed}`, async (t) => {
    const { credit, harness } = await replay(
      { profile: PICOS, load: LOST_RESPONSES },
      seed,
    );
    t.is(harness.workers.overcommitted, 0);
    t.true(credit.recoveredShare >= 0.9, String(credit.recoveredShare));
    t.true(credit.minUsableWorkers >= 30, String(credit.minUsableWorkers));
    const lookups = credit.creditShareOf("lookups");
    t.true(lookups >= TARGET, String(lookups));
  });
}
