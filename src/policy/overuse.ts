/**
 * Plans what to do about a worker whose usage exceeds its capacity.
 *
 * @module
 */
import type { Resources, Urgency } from "../types.ts";

/** A task that runs on an overused worker. */
export interface RunningTask {
  readonly attempt: string;
  readonly urgency: Urgency;
  readonly idempotent: boolean;
  readonly checkpoints: boolean;
  /**
   * Share of the fleet that the task's team uses, divided by the team's weight; tasks of higher
   * ranks are acted on first.
   */
  readonly rank: number;
  readonly used: Resources;
}

/** An action that reduces usage. */
export type ReliefAction =
  | {
    readonly type: "throttle";
    readonly attempt: string;
    readonly cpuMillis: number;
  }
  | { readonly type: "checkpoint"; readonly attempt: string }
  | { readonly type: "stop"; readonly attempt: string };

/** Fraction of the worker's memory above which tasks are evicted. */
const MAX_MEMORY_FRACTION = 0.98;
/** Minimum fraction of its processor usage that a throttled task keeps. */
const MIN_THROTTLED_FRACTION = 0.25;

/** Usage of a worker, as last reported. */
export interface ObservedWorker {
  /** Total usage of the worker, by tasks and everything else. */
  readonly usage: Resources;
  readonly tasks: readonly RunningTask[];
}

/**
 * Plans the actions that bring a worker's usage below its capacity. Excess processor usage is
 * throttled. Excess memory is freed by checkpointing tasks, or by stopping those without
 * checkpoints. Deferred tasks of the teams furthest above their share are acted on first.
 */
export function planRelief(
  capacity: Resources,
  observed: ObservedWorker,
): readonly ReliefAction[] {
  const order = observed.tasks.toSorted(byEvictionOrder);
  const maxMemoryMib = capacity.memoryMib * MAX_MEMORY_FRACTION;
  const evictions = planEvictions(
    order,
    observed.usage.memoryMib - maxMemoryMib,
  );
  const evictedAttempts = new Set(evictions.map((action) => action.attempt));
  const evicted = order.filter((task) => evictedAttempts.has(task.attempt));
  const remaining = order.filter((task) => !evictedAttempts.has(task.attempt));
  const remainingCpuMillis = observed.usage.cpuMillis - totalCpuMillis(evicted);
  return [
    ...evictions,
    ...planThrottling(remaining, remainingCpuMillis - capacity.cpuMillis),
  ];
}

function planEvictions(
  order: readonly RunningTask[],
  excessMib: number,
): ReliefAction[] {
  let remainingMib = excessMib;
  const actions: ReliefAction[] = [];
  for (const task of order) {
    if (remainingMib <= 0) break;
    if (task.used.memoryMib === 0) continue;
    actions.push(evictionOf(task));
    remainingMib -= task.used.memoryMib;
  }
  return actions;
}

function evictionOf(task: RunningTask): ReliefAction {
  const type = task.checkpoints ? "checkpoint" : "stop";
  return { type, attempt: task.attempt };
}

function planThrottling(
  order: readonly RunningTask[],
  excessMillis: number,
): ReliefAction[] {
  let remainingMillis = excessMillis;
  const actions: ReliefAction[] = [];
  for (const { attempt, used: { cpuMillis } } of order) {
    if (remainingMillis <= 0) break;
    const minMillis = Math.ceil(cpuMillis * MIN_THROTTLED_FRACTION);
    const throttledMillis = Math.max(minMillis, cpuMillis - remainingMillis);
    if (throttledMillis >= cpuMillis) continue;
    actions.push({ type: "throttle", attempt, cpuMillis: throttledMillis });
    remainingMillis -= cpuMillis - throttledMillis;
  }
  return actions;
}

function totalCpuMillis(tasks: readonly RunningTask[]): number {
  return tasks.reduce((sum, task) => sum + task.used.cpuMillis, 0);
}

/**
 * Orders tasks by eviction: deferred tasks first, then those that lose the least work, then the
 * teams with the highest rank, then the largest tasks.
 */
function byEvictionOrder(a: RunningTask, b: RunningTask): number {
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
