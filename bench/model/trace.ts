/**
 * Arrivals that every way of scheduling is fed alike.
 *
 * @module
 */
import type { WaitingItem } from "../../src/policy/waiting_queue.ts";
import { zeroResources } from "../../src/resources.ts";
import { Random } from "../random.ts";

/** One request or task of a trace. */
export interface Item extends WaitingItem {
  /** Position in the trace. */
  readonly index: number;
  readonly serviceMs: number;
  readonly idempotent: boolean;
  /** Decides at which instance it arrives, uniform in [0, 1). */
  readonly entry: number;
}

/** What a trace looks like. */
export interface TraceOptions {
  readonly seed: number;
  /** Arriving work over what the fleet can do. */
  readonly load: number;
  readonly durationMs: number;
  /** Deferred tasks that arrive together. */
  readonly monthEnd: number;
  /** Arrivals by team; a few large client accounts by default. */
  readonly teams?: readonly number[];
  /** Part of the arrivals that is urgent. */
  readonly urgentPart?: number;
}

/** Slots of the whole fleet. */
export const SLOTS = 240;
/** Mean time of one request or task. */
export const MEAN_SERVICE_MS = 100;
/** Part of the arrivals that is urgent by default. */
const URGENT_PART = 0.3;
/** Part of the urgent requests that must not be repeated. */
const ONCE_PART = 0.3;
/** When the month ends. */
const MONTH_END_AT_MS = 2_000;
/** Time in which month-end work should be done. */
const MONTH_END_DUE_MS = 30_000;
/** Time in which other deferred work should be done. */
const DEFERRED_DUE_MS = 40_000;
/** Arrivals by client account by default. */
const TEAM_WEIGHTS = [6, 5, 4, 1, 1, 1];

/** How long an urgent caller waits. */
export const URGENT_BUDGET_MS = 1_000;

/** What one slot of a worker is to a request. */
export const oneSlot = { ...zeroResources, slots: 1 };

/** Draws a trace, ordered by arrival. */
export function drawTrace(options: TraceOptions): readonly Item[] {
  const { seed, teams = TEAM_WEIGHTS, urgentPart = URGENT_PART } = options;
  const random = new Random(seed);
  const gapMs = MEAN_SERVICE_MS / (SLOTS * options.load);
  const items: Omit<Item, "index" | "id">[] = [];
  let monthEnd = options.monthEnd;
  for (
    let atMs = random.exponential(gapMs);
    atMs < options.durationMs;
    atMs += random.exponential(gapMs)
  ) {
    for (; monthEnd > 0 && atMs >= MONTH_END_AT_MS; monthEnd--) {
      items.push(deferred(random, {
        atMs: MONTH_END_AT_MS,
        dueMs: MONTH_END_DUE_MS,
        teams,
      }));
    }
    const urgent = random.unit() < urgentPart;
    items.push(
      urgent
        ? urgentItem(random, { atMs, teams })
        : deferred(random, { atMs, teams, dueMs: DEFERRED_DUE_MS }),
    );
  }
  return items.map((item, index) => ({ ...item, index, id: `${index}` }));
}

interface Draw {
  readonly atMs: number;
  readonly teams: readonly number[];
}

function urgentItem(random: Random, draw: Draw): Omit<Item, "index" | "id"> {
  return {
    ...common(random, draw),
    queue: "counter",
    workload: "receipts",
    urgency: "urgent",
    idempotent: random.unit() >= ONCE_PART,
    deadlineAtMs: draw.atMs + URGENT_BUDGET_MS,
  };
}

function deferred(
  random: Random,
  draw: Draw & { readonly dueMs: number },
): Omit<Item, "index" | "id"> {
  return {
    ...common(random, draw),
    queue: "month-end",
    workload: "billing",
    urgency: "deferred",
    idempotent: true,
    dueAtMs: draw.atMs + draw.dueMs,
  };
}

function common(random: Random, draw: Draw) {
  return {
    team: `team${random.weighted(draw.teams)}`,
    need: oneSlot,
    arrivedAtMs: draw.atMs,
    serviceMs: random.exponential(MEAN_SERVICE_MS),
    entry: random.unit(),
  };
}
