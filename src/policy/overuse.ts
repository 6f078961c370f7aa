/**
 * What to do about a worker whose tasks use more than it holds.
 *
 * @module
 */
import type { Resources, Urgency } from "../types.ts";

/** A task on an overused worker. */
export interface RunningTask {
  readonly attempt: string;
  readonly urgency: Urgency;
  readonly idempotent: boolean;
  readonly checkpoints: boolean;
  /** The team's share of the fleet over its weight: the higher, the sooner it gives way. */
  readonly rank: number;
  readonly used: Resources;
}

/** A step that brings usage down. */
export type Action =
  | {
    readonly type: "throttle";
    readonly attempt: string;
    readonly cpuMillis: number;
  }
  | { readonly type: "checkpoint"; readonly attempt: string }
  | { readonly type: "stop"; readonly attempt: string };

/** Part of the memory above which tasks have to go. */
const MEMORY_CEILING = 0.98;
/** Part of its processors that a throttled task keeps at least. */
const THROTTLE_FLOOR = 0.25;

/** What was last reported of a worker. */
export interface ObservedWorker {
  /** Everything in use on it, by tasks or not. */
  readonly usage: Resources;
  readonly tasks: readonly RunningTask[];
}

/**
 * Steps that bring a worker's usage below its capacity: throttling for
 * processors; for memory checkpoints, or stops where none can be taken.
 * Deferred tasks of the teams furthest above their share give way first.
 */
export function advise(
  capacity: Resources,
  observed: ObservedWorker,
): readonly Action[] {
  const order = observed.tasks.toSorted(givesWayFirst);
  const ceilingMib = capacity.memoryMib * MEMORY_CEILING;
  const moved = evictWhile(order, observed.usage.memoryMib - ceilingMib);
  const gone = new Set(moved.map((action) => action.attempt));
  const out = order.filter((task) => gone.has(task.attempt));
  const left = order.filter((task) => !gone.has(task.attempt));
  const usedMillis = observed.usage.cpuMillis - cpuOf(out);
  return [...moved, ...throttleWhile(left, usedMillis - capacity.cpuMillis)];
}

function evictWhile(
  order: readonly RunningTask[],
  excessMib: number,
): Action[] {
  let leftMib = excessMib;
  const actions: Action[] = [];
  for (const task of order) {
    if (leftMib <= 0) break;
    if (task.used.memoryMib === 0) continue;
    actions.push(evict(task));
    leftMib -= task.used.memoryMib;
  }
  return actions;
}

function evict(task: RunningTask): Action {
  const type = task.checkpoints ? "checkpoint" : "stop";
  return { type, attempt: task.attempt };
}

function throttleWhile(
  order: readonly RunningTask[],
  excessMillis: number,
): Action[] {
  let leftMillis = excessMillis;
  const actions: Action[] = [];
  for (const { attempt, used: { cpuMillis } } of order) {
    if (leftMillis <= 0) break;
    const floor = Math.ceil(cpuMillis * THROTTLE_FLOOR);
    const kept = Math.max(floor, cpuMillis - leftMillis);
    if (kept >= cpuMillis) continue;
    actions.push({ type: "throttle", attempt, cpuMillis: kept });
    leftMillis -= cpuMillis - kept;
  }
  return actions;
}

function cpuOf(tasks: readonly RunningTask[]): number {
  return tasks.reduce((sum, task) => sum + task.used.cpuMillis, 0);
}

/** Deferred first, then what loses least, then the team furthest above its share, then the largest. */
function givesWayFirst(a: RunningTask, b: RunningTask): number {
  return urgencyOrder(a) - urgencyOrder(b) || lossOrder(a) - lossOrder(b) ||
    b.rank - a.rank || b.used.memoryMib - a.used.memoryMib;
}

function urgencyOrder(task: RunningTask): number {
  return task.urgency === "urgent" ? 1 : 0;
}

function lossOrder(task: RunningTask): number {
  if (task.checkpoints) return 0;
  return task.idempotent ? 1 : 2;
}
