import test from "ava";
import {
  UNEVEN,
  UNEVEN_DEMAND,
  UNEVEN_UNKNOWN,
} from "./model/uneven_deployment.ts";
import { replay } from "./replay.ts";

/** Target share of urgent submissions in time: those of three tasks none of which is among the 3 % of long tasks. */
const IN_TIME = 0.97 ** 3;
const URGENT = "checks";
const SEEDS = [1, 2, 3];

// Guards against urgent work that is late because it runs on slow workers, and
// against a remedy that makes the work of other queues late.
for (const seed of SEEDS) {
  test(`urgent work is in time on workers of different speed, seed ${seed}`, async (t) => {
    const load = UNEVEN_DEMAND;
    const { credit, harness } = await replay({ profile: UNEVEN, load }, seed);
    t.is(harness.workers.overcommitted, 0);
    const inTime = credit.inTimeShareOf(URGENT);
    t.true(inTime >= IN_TIME, String(inTime));
    const former = await replay({ profile: UNEVEN_UNKNOWN, load }, seed);
    for (const { queue } of UNEVEN.kinds) {
      const gained = credit.inTimeShareOf(queue) -
        former.credit.inTimeShareOf(queue);
      t.true(gained >= 0, `${queue} ${gained}`);
    }
  });
}
