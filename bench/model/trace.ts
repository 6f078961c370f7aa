/**
 * Arrivals that every way of scheduling is fed alike.
 *
 * @module
 */
import type { Waiting } from "../../src/policy/waiting.ts";
import { noResources } from "../../src/resources.ts";
import { Random } from "../random.ts";

/** One request or task of a trace. */
export interface Item extends Waiting {
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
}

/** Slots of the whole fleet. */
export const SLOTS = 240;
/** Mean time of one request or task. */
export const MEAN_SERVICE_MS = 100;
/** Part of the arrivals that is urgent. */
const URGENT_PART = 0.3;
/** Part of the urgent requests that must not be repeated. */
const ONCE_PART = 0.3;
/** When the month ends. */
const MONTH_END_AT_MS = 2_000;
/** Time in which month-end work should be done. */
const MONTH_END_DUE_MS = 30_000;
/** Time in which other deferred work should be done. */
const DEFERRED_DUE_MS = 40_000;
/** Arrivals by client account: a few large ones. */
const TEAM_WEIGHTS = [6, 5, 4, 1, 1, 1];

/** What one slot of a worker is to a request. */
export const oneSlot = { ...noResources, slots: 1 };

/** Draws a trace, ordered by arrival. */
export function drawTrace(options: TraceOptions): readonly Item[] {
  const random = new Random(options.seed);
  const gapMs = MEAN_SERVICE_MS / (SLOTS * options.load);
  const items: Omit<Item, "index" | "id">[] = [];
  let monthEnd = options.monthEnd;
  for (
    let atMs = random.exponential(gapMs);
    atMs < options.durationMs;
    atMs += random.exponential(gapMs)
  ) {
    for (; monthEnd > 0 && atMs >= MONTH_END_AT_MS; monthEnd--) {
      items.push(deferred(random, MONTH_END_AT_MS, MONTH_END_DUE_MS));
    }
    const urgent = random.unit() < URGENT_PART;
    items.push(
      urgent
        ? urgentItem(random, atMs)
        : deferred(random, atMs, DEFERRED_DUE_MS),
    );
  }
  return items.map((item, index) => ({ ...item, index, id: `${index}` }));
}

function urgentItem(random: Random, atMs: number): Omit<Item, "index" | "id"> {
  return {
    ...common(random, atMs),
    queue: "counter",
    workload: "receipts",
    urgency: "urgent",
    idempotent: random.unit() >= ONCE_PART,
  };
}

function deferred(
  random: Random,
  atMs: number,
  dueMs: number,
): Omit<Item, "index" | "id"> {
  return {
    ...common(random, atMs),
    queue: "month-end",
    workload: "billing",
    urgency: "deferred",
    idempotent: true,
    dueAtMs: atMs + dueMs,
  };
}

function common(random: Random, atMs: number) {
  return {
    team: `team${random.weighted(TEAM_WEIGHTS)}`,
    need: oneSlot,
    arrivedAtMs: atMs,
    serviceMs: random.exponential(MEAN_SERVICE_MS),
    entry: random.unit(),
  };
}
