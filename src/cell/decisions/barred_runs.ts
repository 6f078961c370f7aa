/**
 * Runs that are recorded in the store but must not be started any more.
 *
 * Load pattern: an availability zone is evacuated while starts are being
 * recorded in the store. The evacuated zones are checked once more between the
 * record and the start request. If one member of a gang is affected, no member
 * is started.
 *
 * @module
 */
import type { Run } from "../fleet.ts";

/** The evacuated availability zones, as last read. */
export interface EvacuatedZones {
  /** Whether a zone is evacuated. */
  has(zone: string): boolean;
  /**
   * Whether the last successful read is too old to start anything based on it.
   */
  readonly isStale: boolean;
}

/** Runs of one step that must not be started, and the reason. */
export interface BarredRuns {
  readonly barred: readonly Run[];
  readonly reason: "zonesUnread" | "zoneEvacuated";
}

/**
 * Finds the runs of one step that must not be started now. All are barred while
 * the zones are stale, and all members of a gang if one of them is affected.
 */
export function findBarredRuns(
  runs: readonly Run[],
  zones: EvacuatedZones,
): BarredRuns {
  if (zones.isStale) return { barred: runs, reason: "zonesUnread" };
  const affected = runs.filter(({ worker }) =>
    worker.entry !== undefined && zones.has(worker.entry.zone)
  );
  const barsWholeGang = affected.length > 0 && runs[0]?.step.spec.gang === true;
  return { barred: barsWholeGang ? runs : affected, reason: "zoneEvacuated" };
}
