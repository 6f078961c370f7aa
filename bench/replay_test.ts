import test from "ava";
import { LOADS } from "./model/loads.ts";
import { LARGE } from "./model/sheets.ts";
import { replay } from "./replay.ts";

/** Credit that callers are to get in the worst seconds; source: the users' target for days with trouble. */
const TARGET = 0.66;
const SEED = 1;

for (const load of LOADS) {
  test(`${load.name}: callers are served and no worker is overfilled`, async (t) => {
    const { credit, world } = await replay({ sheet: LARGE, load }, SEED);
    t.is(world.workers.overfilled, 0);
    t.true(credit.share >= TARGET, String(credit.share));
    t.true(credit.shareOfOthers >= TARGET, String(credit.shareOfOthers));
  });
}
