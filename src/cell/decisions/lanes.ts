/**
 * Which instances carry a question for advice.
 *
 * Load pattern: hundreds of questions at once, of ten milliseconds for urgent
 * steps, of a tenth of a second and of more than a second for others. The
 * service answers one call at a time for each instance, so each instance is a
 * lane, and slow questions must leave lanes to the quick ones. The way through an
 * instance and a busy holder takes longer than a quick question itself, so a few
 * of them are under way in a lane at once.
 *
 * @module
 */
import type { AdvicePolicy } from "../types.ts";

/** How long a question takes, in classes. */
export type Pace = "quick" | "medium" | "slow";

/** Longest quick question, milliseconds. */
const QUICK_MS = 30;
/** Longest medium question, milliseconds. */
const MEDIUM_MS = 250;
/** Share of the lanes that medium questions may use. */
const MEDIUM_LANES = 0.75;
/** Share of the lanes that slow questions may use. */
const SLOW_LANES = 0.55;
/** Workers that a question names, mostly. */
export const TYPICAL_ASKED = 30;
/** Workers that any question may name. */
const LEAST_ASKED = 10;
/** Most workers in a question; source: the platform's pages. */
const MOST_ASKED = 100;

/** The class of a question that takes so long, milliseconds. */
export function paceOf(expectedMs: number): Pace {
  if (expectedMs <= QUICK_MS) return "quick";
  return expectedMs <= MEDIUM_MS ? "medium" : "slow";
}

/** The class of a queue's questions. */
export function paceOfQueue({ baseMs, perWorkerMs }: AdvicePolicy): Pace {
  return paceOf(baseMs + LEAST_ASKED * perWorkerMs);
}

/** What the service mostly needs for a question of a queue, milliseconds. */
export function usualMs(advice: AdvicePolicy): number {
  const asked = Math.min(TYPICAL_ASKED, mostAsked(advice));
  return advice.baseMs + asked * advice.perWorkerMs;
}

/** Most workers that a question of a queue names: with more it would be of a slower class. */
export function mostAsked(advice: AdvicePolicy): number {
  const { baseMs, perWorkerMs } = advice;
  const limitMs = longestOf(paceOfQueue(advice));
  if (perWorkerMs === 0 || limitMs === Infinity) return MOST_ASKED;
  const most = Math.floor((limitMs - baseMs) / perWorkerMs);
  return Math.min(MOST_ASKED, Math.max(LEAST_ASKED, most));
}

/**
 * Questions of a class that a lane takes now. `aheadMs`: what the service needs
 * for those that are under way there, milliseconds. Quick ones may wait behind
 * others for no longer than one of them takes at most.
 */
export function placesIn(
  pace: Pace,
  { aheadMs, expectedMs }: {
    readonly aheadMs: number;
    /** What the service needs for one of them, milliseconds. */
    readonly expectedMs: number;
  },
): number {
  if (aheadMs === 0 && pace !== "quick") return 1;
  switch (pace) {
    case "slow":
    case "medium":
      return 0;
    case "quick": {
      const places = Math.floor((QUICK_MS - aheadMs) / expectedMs);
      return Math.max(aheadMs === 0 ? 1 : 0, places);
    }
  }
}

/** Lanes that a question may use, the preferred first: quick ones begin at the end. */
export function lanesFor(
  lanes: readonly string[],
  pace: Pace,
): readonly string[] {
  const first = (share: number) =>
    lanes.slice(0, Math.max(1, Math.floor(lanes.length * share)));
  switch (pace) {
    case "slow":
      return first(SLOW_LANES);
    case "medium":
      return first(MEDIUM_LANES).reverse();
    case "quick":
      return [...lanes].reverse();
  }
}

function longestOf(pace: Pace): number {
  switch (pace) {
    case "quick":
      return QUICK_MS;
    case "medium":
      return MEDIUM_MS;
    case "slow":
      return Infinity;
  }
}
