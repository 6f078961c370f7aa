/**
 * What should be owned by some instance, from the fleet and the operators' set.
 *
 * @module
 */
import { KEY_BUCKETS, KEY_HOME_UNIT } from "../controllers/key_homes.ts";
import { WORKER_UNIT } from "../controllers/owned_workers.ts";
import { SEGMENT_UNIT } from "../controllers/work_desk.ts";
import type { OperatorSet } from "../operator_set.ts";
import type { OwnershipMap } from "../state/ownership_map.ts";
import type { Worker } from "../types.ts";

/** Prefix of the units that are homes of teams' limits. */
export const TEAM_UNIT = "team:";
/** A worker that the list has not named for so long is given up, milliseconds. */
const WORKER_GONE_MS = 60_000;

/** What should be owned and what no longer. */
export interface Units {
  readonly wanted: readonly string[];
  readonly retired: readonly string[];
}

/** Derives the units. */
export function unitsOf(
  from: {
    readonly self: string;
    readonly workers: readonly Worker[];
    readonly set: OperatorSet;
    readonly map: OwnershipMap;
    readonly absentMs: (worker: string) => number;
  },
): Units {
  const homes = Array.from(
    { length: KEY_BUCKETS },
    (_, index) => KEY_HOME_UNIT + index,
  );
  const wanted = [
    ...from.workers.map(({ id }) => WORKER_UNIT + id),
    ...[...from.set.teams.keys()].map((name) => TEAM_UNIT + name),
    ...homes,
    SEGMENT_UNIT + from.self,
  ];
  const retired = [...from.map.units.keys()].filter((unit) =>
    unit.startsWith(WORKER_UNIT) &&
    from.absentMs(unit.slice(WORKER_UNIT.length)) > WORKER_GONE_MS
  );
  return { wanted, retired };
}
