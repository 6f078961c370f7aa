/**
 * How much of a team's upper limit its deferrable work leaves free for its
 * urgent work.
 *
 * Load pattern: a team near its upper limit that sends urgent work beside large
 * deferrable gangs. A gang that fills the limit keeps it full for seconds, while
 * an urgent step that waits for half a second is late.
 *
 * @module
 */
import { type Amounts, NO_AMOUNTS, plus, type Team } from "../types.ts";

/** Urgent use counts for so long, milliseconds: several runs of urgent steps. */
export const HEADROOM_WINDOW_MS = 5_000;
/** The peaks are kept for parts of that of this length, milliseconds. */
const SLOT_MS = 500;
/** Largest part of a limit that is left free. */
const MOST_PART = 0.5;
/** While a team uses less than this part of its limit, a task or gang that fits into the limit starts. */
const NEAR_PART = 0.5;
/** A gang too large to leave the headroom waits for urgent work of its team no longer than this, milliseconds. */
const LONGEST_WAIT_MS = 3_000;

/** Highest urgent use in one slot of time. */
interface Slot {
  readonly number: number;
  peak: Amounts;
}

/** A deferrable step that asks for room within its team's limit. */
export interface LimitRequest {
  readonly team: Team | undefined;
  /** What the team uses in all. */
  readonly used: Amounts;
  /** Part of that which its urgent work uses. */
  readonly urgent: Amounts;
  /** What has to start at once: one task, or all tasks of a gang. */
  readonly least: Amounts;
  /** Whether urgent work of the team waits at the limit. */
  readonly urgentWaits: boolean;
  /** Time that the step has waited for the headroom so far, milliseconds. */
  readonly waitedMs: number;
}

/** The peak of a team's slots, as of one of them. */
interface Peak {
  readonly slot: number;
  readonly amounts: Amounts;
}

/** The peaks of the urgent use of teams over the last seconds. */
export class LimitHeadroom {
  readonly #slots = new Map<string, Slot[]>();
  /** Peaks until the next slot or note: each look for places of a deferrable step asks. */
  readonly #peaks = new Map<string, Peak>();

  /** Takes note of a team's urgent use. `nowMs`: monotonic milliseconds. */
  note(team: string, urgent: Amounts, nowMs: number): void {
    const slots = this.#recent(team, nowMs);
    const number = slotAt(nowMs);
    const last = slots.at(-1);
    if (last?.number === number) last.peak = most(last.peak, urgent);
    else slots.push({ number, peak: urgent });
    this.#slots.set(team, slots);
    this.#peaks.delete(team);
  }

  /** Highest urgent use of a team over the last seconds. */
  peak(team: string, nowMs: number): Amounts {
    const slot = slotAt(nowMs);
    const known = this.#peaks.get(team);
    if (known?.slot === slot) return known.amounts;
    const amounts = this.#recent(team, nowMs)
      .reduce((peak, one) => most(peak, one.peak), NO_AMOUNTS);
    this.#peaks.set(team, { slot, amounts });
    return amounts;
  }

  /** What a deferrable step leaves free below its team's limit, besides what is used. */
  keptFrom(request: LimitRequest, nowMs: number): Amounts {
    const { team, used, urgent, least } = request;
    if (team === undefined) return NO_AMOUNTS;
    const headroom = atMost(this.peak(team.name, nowMs), team.limit);
    if (!fitsBeside(least, headroom, team.limit) && mayFill(request)) {
      return NO_AMOUNTS;
    }
    const kept = most(plus(headroom, urgent, -1), NO_AMOUNTS);
    return isNear(used, team.limit) ? kept : besideLeast(kept, request);
  }

  #recent(team: string, nowMs: number): Slot[] {
    const first = slotAt(nowMs - HEADROOM_WINDOW_MS);
    const slots = this.#slots.get(team) ?? [];
    while (slots.length > 0 && slots[0]!.number < first) slots.shift();
    return slots;
  }
}

/** Whether a team has no upper limit. */
export function isUnlimited({ limit }: Team): boolean {
  return limit.cpuMillis === 0 && limit.memoryMib === 0 &&
    limit.accelerators === 0;
}

/** Whether a step that cannot leave the headroom may start all the same. */
function mayFill({ urgentWaits, waitedMs }: LimitRequest): boolean {
  return !urgentWaits || waitedMs >= LONGEST_WAIT_MS;
}

function slotAt(atMs: number): number {
  return Math.floor(atMs / SLOT_MS);
}

/** Whether a use is near a limit in any kind of resource; a limit of 0 is none. */
function isNear(used: Amounts, limit: Amounts): boolean {
  const near = (limited: number, amount: number) =>
    limited > 0 && amount >= NEAR_PART * limited;
  return near(limit.cpuMillis, used.cpuMillis) ||
    near(limit.memoryMib, used.memoryMib) ||
    near(limit.accelerators, used.accelerators);
}

function fitsBeside(least: Amounts, kept: Amounts, limit: Amounts): boolean {
  const beside = (limited: number, wanted: number, left: number) =>
    limited === 0 || wanted <= limited - left;
  return beside(limit.cpuMillis, least.cpuMillis, kept.cpuMillis) &&
    beside(limit.memoryMib, least.memoryMib, kept.memoryMib) &&
    beside(limit.accelerators, least.accelerators, kept.accelerators);
}

function atMost(peak: Amounts, limit: Amounts): Amounts {
  return {
    cpuMillis: Math.min(peak.cpuMillis, MOST_PART * limit.cpuMillis),
    memoryMib: Math.min(peak.memoryMib, MOST_PART * limit.memoryMib),
    accelerators: Math.min(peak.accelerators, MOST_PART * limit.accelerators),
  };
}

function most(a: Amounts, b: Amounts): Amounts {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMib: Math.max(a.memoryMib, b.memoryMib),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** What is kept, but never what one task or one gang needs within the limit. */
function besideLeast(
  kept: Amounts,
  { team, used, least }: LimitRequest,
): Amounts {
  const limit = team?.limit ?? NO_AMOUNTS;
  const open = most(plus(plus(limit, used, -1), least, -1), NO_AMOUNTS);
  return {
    cpuMillis: Math.min(kept.cpuMillis, open.cpuMillis),
    memoryMib: Math.min(kept.memoryMib, open.memoryMib),
    accelerators: Math.min(kept.accelerators, open.accelerators),
  };
}
