/**
 * Derives the units that should have an owner from the fleet and the active
 * operator set.
 *
 * @module
 */
import { KEY_BUCKETS, KEY_HOME_UNIT_PREFIX } from "../controllers/key_homes.ts";
import { WORKER_UNIT_PREFIX } from "../controllers/owned_workers.ts";
import { SEGMENT_UNIT_PREFIX } from "../controllers/work_service.ts";
import type { OperatorSet } from "../operator_set.ts";
import type { OwnershipMap } from "../state/ownership_map.ts";
import type { Worker } from "../types.ts";

/** Name prefix of the units of teams: the owner is the home of the team's limit. */
export const TEAM_UNIT_PREFIX = "team:";
/** The unit of a worker is retired once the worker has been absent from the list for this long, milliseconds. */
const WORKER_RETIRE_DELAY_MS = 60_000;

/** Units that should have an owner, and units to remove from the ownership map. */
export interface Units {
  readonly wanted: readonly string[];
  readonly retired: readonly string[];
}

/** Derives the units. `absentMs` is the time for which a worker has been absent from the list, milliseconds. */
export function deriveUnits(
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
    (_, index) => KEY_HOME_UNIT_PREFIX + index,
  );
  const wanted = [
    ...from.workers.map(({ id }) => WORKER_UNIT_PREFIX + id),
    ...[...from.set.teams.keys()].map((name) => TEAM_UNIT_PREFIX + name),
    ...homes,
    SEGMENT_UNIT_PREFIX + from.self,
  ];
  const retired = [...from.map.units.keys()].filter((unit) =>
    unit.startsWith(WORKER_UNIT_PREFIX) &&
    from.absentMs(unit.slice(WORKER_UNIT_PREFIX.length)) >
      WORKER_RETIRE_DELAY_MS
  );
  return { wanted, retired };
}
