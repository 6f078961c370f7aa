import test from "ava";
import { HOT_BURST, LOADS, LOST_ANSWERS } from "./model/loads.ts";
import { PICOS } from "./model/sheets.ts";
import { replay } from "./replay.ts";

/** Credit that callers are to get in the worst seconds; source: the project's target for days with trouble. */
const TARGET = 0.82;
const SEEDS = [1, 2, 3];

for (const load of LOADS) {
  test(`${load.name}: callers are served and no worker is overfilled`, async (t) => {
    const { credit, world } = await replay({ sheet: PICOS, load }, SEEDS[0]!);
    t.is(world.workers.overfilled, 0);
    t.true(credit.share >= TARGET, String(credit.share));
    t.true(credit.shareOfOthers >= TARGET, String(credit.shareOfOthers));
  });
}

for (const seed of SEEDS) {
  test(`a hot team in a burst leaves advice to urgent work, seed ${seed}`, async (t) => {
    const { credit } = await replay({ sheet: PICOS, load: HOT_BURST }, seed);
    const lookups = credit.shareOf("lookups");
    t.true(lookups >= TARGET, String(lookups));
  });
}

for (const seed of SEEDS) {
  test(`orders without an answer are settled and workers stay in use, seed ${seed}`, async (t) => {
    const { credit, world } = await replay(
      { sheet: PICOS, load: LOST_ANSWERS },
      seed,
    );
    t.is(world.workers.overfilled, 0);
    t.true(credit.settledShare >= 0.9, String(credit.settledShare));
    t.true(credit.leastUsable >= 30, String(credit.leastUsable));
    const lookups = credit.shareOf("lookups");
    t.true(lookups >= TARGET, String(lookups));
  });
}
