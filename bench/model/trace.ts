/**
 * Random arrivals; every scheduler under comparison gets the same trace.
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
  /** Selects the instance at which the item arrives; uniform in [0, 1). */
  readonly entry: number;
}

/** Options of a trace. */
export interface TraceOptions {
  readonly seed: number;
  /** Offered load over the capacity of the fleet. */
  readonly load: number;
  readonly durationMs: number;
  /** Number of deferred tasks that arrive together at the end of the month. */
  readonly monthEnd: number;
  /** Relative arrival rates of the teams; by default a few large client accounts. */
  readonly teams?: readonly number[];
  /** Share of urgent arrivals. */
  readonly urgentFraction?: number;
}

/** Total slots of the fleet. */
export const SLOTS = 240;
/** Mean service time of a request or task. */
export const MEAN_SERVICE_MS = 100;
/** Default share of urgent arrivals. */
const URGENT_FRACTION = 0.3;
/** Share of urgent requests that are not idempotent. */
const NON_IDEMPOTENT_FRACTION = 0.3;
/** Arrival time of the month-end work. */
const MONTH_END_AT_MS = 2_000;
/** Time until month-end work is due. */
const MONTH_END_DUE_AFTER_MS = 30_000;
/** Time until other deferred work is due. */
const DEFERRED_DUE_AFTER_MS = 40_000;
/** Default relative arrival rates, by client account. */
const TEAM_WEIGHTS = [6, 5, 4, 1, 1, 1];

/** Time budget of an urgent caller. */
export const URGENT_BUDGET_MS = 1_000;

/** Resource need of one request: one slot of a worker. */
export const oneSlot = { ...zeroResources, slots: 1 };

/** Generates a trace, ordered by arrival. */
export function generateTrace(options: TraceOptions): readonly Item[] {
  const {
    seed,
    teams = TEAM_WEIGHTS,
    urgentFraction = URGENT_FRACTION,
  } = options;
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
      items.push(deferredItem(random, {
        atMs: MONTH_END_AT_MS,
        dueMs: MONTH_END_DUE_AFTER_MS,
        teams,
      }));
    }
    const urgent = random.uniform() < urgentFraction;
    items.push(
      urgent
        ? urgentItem(random, { atMs, teams })
        : deferredItem(random, { atMs, teams, dueMs: DEFERRED_DUE_AFTER_MS }),
    );
  }
  return items.map((item, index) => ({ ...item, index, id: `${index}` }));
}

interface ArrivalFields {
  readonly atMs: number;
  readonly teams: readonly number[];
}

function urgentItem(
  random: Random,
  draw: ArrivalFields,
): Omit<Item, "index" | "id"> {
  return {
    ...commonFields(random, draw),
    queue: "counter",
    workload: "receipts",
    urgency: "urgent",
    idempotent: random.uniform() >= NON_IDEMPOTENT_FRACTION,
    deadlineAtMs: draw.atMs + URGENT_BUDGET_MS,
  };
}

function deferredItem(
  random: Random,
  draw: ArrivalFields & { readonly dueMs: number },
): Omit<Item, "index" | "id"> {
  return {
    ...commonFields(random, draw),
    queue: "month-end",
    workload: "billing",
    urgency: "deferred",
    idempotent: true,
    dueAtMs: draw.atMs + draw.dueMs,
  };
}

function commonFields(random: Random, draw: ArrivalFields) {
  return {
    team: `team${random.weightedIndex(draw.teams)}`,
    need: oneSlot,
    arrivedAtMs: draw.atMs,
    serviceMs: random.exponential(MEAN_SERVICE_MS),
    entry: random.uniform(),
  };
}
