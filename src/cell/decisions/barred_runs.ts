/**
 * Runs that were recorded and must not be ordered any more.
 *
 * Load pattern: an availability zone is evacuated while starts are being
 * recorded in the store. The zones are looked at once more between the record
 * and the order; a gang of which one member is caught is not ordered at all.
 *
 * @module
 */
import type { Run } from "../fleet.ts";

/** What is known of evacuated zones. */
export interface KnownZones {
  /** Whether a zone is evacuated. */
  has(zone: string): boolean;
  /** Whether the last reading is too old to start anything by it. */
  readonly isStale: boolean;
}

/** Runs of one step that must not be ordered. */
export interface Barred {
  readonly barred: readonly Run[];
  readonly reason: "zonesUnread" | "zoneEvacuated";
}

/** Finds the runs of one step that must not be ordered now. */
export function barredRuns(runs: readonly Run[], zones: KnownZones): Barred {
  if (zones.isStale) return { barred: runs, reason: "zonesUnread" };
  const caught = runs.filter(({ worker }) =>
    worker.entry !== undefined && zones.has(worker.entry.zone)
  );
  const whole = caught.length > 0 && runs[0]?.step.spec.gang === true;
  return { barred: whole ? runs : caught, reason: "zoneEvacuated" };
}
