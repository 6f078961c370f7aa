/**
 * How much of a team's upper limit is kept free of deferrable work, as headroom
 * for the team's urgent work.
 *
 * Load pattern: a team near its upper limit that submits urgent work next to
 * large deferrable gangs. A gang that fills the limit keeps it full for
 * seconds, while an urgent step that waits for half a second is late.
 *
 * @module
 */
import { type Amounts, NO_AMOUNTS, plus, type Team } from "../types.ts";

/**
 * Length of the window over which the peak of the urgent usage is taken,
 * milliseconds: several runs of urgent steps.
 */
export const HEADROOM_WINDOW_MS = 5_000;
/**
 * Length of one slot of the window, milliseconds. One peak is stored for each
 * slot.
 */
const SLOT_LENGTH_MS = 500;
/** Largest share of a limit that is kept free as headroom. */
const MAX_HEADROOM_SHARE = 0.5;
/**
 * Share of its limit from which a team counts as near it. Below, the headroom
 * never blocks a task or gang that fits into the limit.
 */
const NEAR_LIMIT_SHARE = 0.5;
/**
 * Longest time for which a gang that does not fit beside the headroom waits for
 * urgent work of its team, milliseconds.
 */
const MAX_HEADROOM_WAIT_MS = 3_000;

/** Highest urgent usage within one slot of the window. */
interface PeakSlot {
  readonly number: number;
  peak: Amounts;
}

/** A deferrable step that is to start within its team's limit. */
export interface HeadroomRequest {
  readonly team: Team | undefined;
  /** Usage of the team as a whole. */
  readonly used: Amounts;
  /** The part of `used` that is urgent work. */
  readonly urgentUsed: Amounts;
  /**
   * Amounts that have to start at once: those of one task, or of all tasks of a
   * gang.
   */
  readonly minStart: Amounts;
  /** Whether urgent work of the team waits because of the limit. */
  readonly urgentIsWaiting: boolean;
  /** Time that the step has waited for the headroom so far, milliseconds. */
  readonly waitedMs: number;
}

/** The peak over a team's window, valid for one slot number. */
interface CachedPeak {
  readonly slot: number;
  readonly amounts: Amounts;
}

/** Tracks the peak urgent usage of teams over the last seconds. */
export class LimitHeadroom {
  readonly #slots = new Map<string, PeakSlot[]>();
  /**
   * Peaks by team, cached until the next slot or the next record: every
   * placement attempt of a deferrable step reads one.
   */
  readonly #peaks = new Map<string, CachedPeak>();

  /**
   * Records the current urgent usage of a team. `nowMs`: monotonic
   * milliseconds.
   */
  record(team: string, urgentUsed: Amounts, nowMs: number): void {
    const slots = this.#slotsInWindow(team, nowMs);
    const number = slotNumber(nowMs);
    const last = slots.at(-1);
    if (last?.number === number) last.peak = maxAmounts(last.peak, urgentUsed);
    else slots.push({ number, peak: urgentUsed });
    this.#slots.set(team, slots);
    this.#peaks.delete(team);
  }

  /** Highest urgent usage of a team within the window. */
  peak(team: string, nowMs: number): Amounts {
    const slot = slotNumber(nowMs);
    const cached = this.#peaks.get(team);
    if (cached?.slot === slot) return cached.amounts;
    const amounts = this.#slotsInWindow(team, nowMs)
      .reduce((peak, slot) => maxAmounts(peak, slot.peak), NO_AMOUNTS);
    this.#peaks.set(team, { slot, amounts });
    return amounts;
  }

  /**
   * Amounts below its team's limit that a deferrable step must leave free, in
   * addition to those in use.
   */
  reservedFor(request: HeadroomRequest, nowMs: number): Amounts {
    const { team, used, urgentUsed, minStart } = request;
    if (team === undefined) return NO_AMOUNTS;
    const headroom = cappedHeadroom(this.peak(team.name, nowMs), team.limit);
    if (
      !fitsBesideReserved(minStart, headroom, team.limit) &&
      mayUseHeadroom(request)
    ) {
      return NO_AMOUNTS;
    }
    const reserved = maxAmounts(plus(headroom, urgentUsed, -1), NO_AMOUNTS);
    return isNearLimit(used, team.limit)
      ? reserved
      : leavingMinStart(reserved, request);
  }

  /** Discards the slots of a team that precede the window, and returns the others. */
  #slotsInWindow(team: string, nowMs: number): PeakSlot[] {
    const firstNumber = slotNumber(nowMs - HEADROOM_WINDOW_MS);
    const slots = this.#slots.get(team) ?? [];
    while (slots.length > 0 && slots[0]!.number < firstNumber) slots.shift();
    return slots;
  }
}

/** Whether a team has no upper limit. */
export function isUnlimited({ limit }: Team): boolean {
  return limit.cpuMillis === 0 && limit.memoryMib === 0 &&
    limit.accelerators === 0;
}

/** Whether a step that does not fit beside the headroom may start anyway. */
function mayUseHeadroom(
  { urgentIsWaiting, waitedMs }: HeadroomRequest,
): boolean {
  return !urgentIsWaiting || waitedMs >= MAX_HEADROOM_WAIT_MS;
}

function slotNumber(atMs: number): number {
  return Math.floor(atMs / SLOT_LENGTH_MS);
}

/**
 * Whether the usage is near the limit in any resource; a limit of 0 means none.
 */
function isNearLimit(used: Amounts, limit: Amounts): boolean {
  const reaches = (limited: number, amount: number) =>
    limited > 0 && amount >= NEAR_LIMIT_SHARE * limited;
  return reaches(limit.cpuMillis, used.cpuMillis) ||
    reaches(limit.memoryMib, used.memoryMib) ||
    reaches(limit.accelerators, used.accelerators);
}

function fitsBesideReserved(
  minStart: Amounts,
  reserved: Amounts,
  limit: Amounts,
): boolean {
  const fitsIn = (limited: number, wanted: number, reservedAmount: number) =>
    limited === 0 || wanted <= limited - reservedAmount;
  return fitsIn(limit.cpuMillis, minStart.cpuMillis, reserved.cpuMillis) &&
    fitsIn(limit.memoryMib, minStart.memoryMib, reserved.memoryMib) &&
    fitsIn(limit.accelerators, minStart.accelerators, reserved.accelerators);
}

function cappedHeadroom(peak: Amounts, limit: Amounts): Amounts {
  return {
    cpuMillis: Math.min(peak.cpuMillis, MAX_HEADROOM_SHARE * limit.cpuMillis),
    memoryMib: Math.min(peak.memoryMib, MAX_HEADROOM_SHARE * limit.memoryMib),
    accelerators: Math.min(
      peak.accelerators,
      MAX_HEADROOM_SHARE * limit.accelerators,
    ),
  };
}

function maxAmounts(a: Amounts, b: Amounts): Amounts {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMib: Math.max(a.memoryMib, b.memoryMib),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/**
 * Reduces the reservation so that the smallest start of the step still fits
 * into the unused part of the limit.
 */
function leavingMinStart(
  reserved: Amounts,
  { team, used, minStart }: HeadroomRequest,
): Amounts {
  const limit = team?.limit ?? NO_AMOUNTS;
  const unused = maxAmounts(
    plus(plus(limit, used, -1), minStart, -1),
    NO_AMOUNTS,
  );
  return {
    cpuMillis: Math.min(reserved.cpuMillis, unused.cpuMillis),
    memoryMib: Math.min(reserved.memoryMib, unused.memoryMib),
    accelerators: Math.min(reserved.accelerators, unused.accelerators),
  };
}
