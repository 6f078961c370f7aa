/**
 * Types and helpers shared by the policies of all kinds of workload.
 *
 * @module
 */
import type { Workload } from "../operator_set.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { ReplicaCounts } from "../policy/spread.ts";
import type { WaitingItem } from "../policy/waiting_queue.ts";
import type { Resources, Urgency } from "../types.ts";

/** A kind of workload. */
export type Kind = Workload["kind"];

/** Settings of a workload of one kind. */
export type WorkloadOf<K extends Kind> = Extract<Workload, { kind: K }>;

/** Inputs of a placement besides the workload. */
export interface PlacementContext {
  /** Workers to choose from. */
  readonly pool: WorkerPool;
  /** Resources of one task: the estimate if there is one, otherwise the declared ones. */
  readonly need: Resources;
  /** Ids of workers that must not be used. */
  readonly avoid?: ReadonlySet<string>;
  /** Number of the workload's replicas by zone and rack; absent for other placements. */
  readonly spread?: ReplicaCounts;
}

/** Result of a placement. */
export type Placement =
  /** One worker id for each task. */
  | { readonly type: "placed"; readonly workers: readonly string[] }
  /** It fits when other work has completed. */
  | { readonly type: "noRoom" }
  /** It fits on no worker, even an empty one. */
  | { readonly type: "neverFits" };

/** Running work that may be preempted. */
export interface Victim {
  readonly attempt: string;
  readonly kind: Kind;
  readonly urgency: Urgency;
  readonly checkpoints: boolean;
  readonly idempotent: boolean;
  /** Present and past share of its team, divided by the team's weight. */
  readonly rank: number;
}

/** Waiting work that needs the capacity. */
export interface Claimant {
  readonly urgency: Urgency;
  /** Present and past share of its team, divided by the team's weight. */
  readonly rank: number;
}

/** An attempt that did not succeed. */
export interface FailedAttempt {
  /** Number of attempts, this one included. */
  readonly attempts: number;
  /** `notRun`: it did not run; `failed`: it ran and failed; `unknown`: it may have run. */
  readonly outcome: "notRun" | "failed" | "unknown";
}

/** Decision after a failed attempt. */
export type Retry =
  | { readonly type: "retry"; readonly delayMs: number }
  /** The task stays visible and waits until an operator resumes it. */
  | { readonly type: "park" }
  /** The failure is returned to the caller. */
  | { readonly type: "answer" };

/** The policy of one kind. */
export interface Policy<K extends Kind> {
  /** Finds free capacity for one request or task, or for all tasks of a gang, without reserving it. */
  place(workload: WorkloadOf<K>, context: PlacementContext): Placement;
  /** Compares waiting work of the kind; negative if `a` is placed first. */
  order(a: WaitingItem, b: WaitingItem): number;
  /** Whether running work may be checkpointed or stopped to free capacity for the claimant. */
  mayPreempt(claimant: Claimant, victim: Victim): boolean;
  /** Decides what to do after a failed attempt. */
  retry(workload: WorkloadOf<K>, attempt: FailedAttempt): Retry;
}

/** Entry of a kind in the registry. */
export interface Definition<K extends Kind> {
  readonly kind: K;
  /** Whether the fields of a configuration section describe this kind. */
  matches(fields: Readonly<Record<string, unknown>>): boolean;
  readonly policy: Policy<K>;
}

/** Converts the workers found, `undefined` for none, into a placement. */
export function placementOf(
  workers: readonly string[] | undefined,
  context: PlacementContext,
): Placement {
  if (workers !== undefined) return { type: "placed", workers };
  return context.pool.couldEverFit(context.need)
    ? { type: "noRoom" }
    : { type: "neverFits" };
}

/** Delay before the second attempt; each further delay is twice as long. */
const INITIAL_RETRY_DELAY_MS = 500;
/** Upper limit of the delay before an attempt. */
const MAX_RETRY_DELAY_MS = 60_000;

/** Delay before the next attempt of deferred work, in milliseconds. */
export function backoffMs(attempts: number): number {
  return Math.min(
    MAX_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** (attempts - 1),
  );
}

/** Whether another attempt is safe: the workload is idempotent or this attempt did not run. */
export function isRetrySafe(
  workload: Pick<Workload, "idempotent">,
  attempt: FailedAttempt,
): boolean {
  return workload.idempotent || attempt.outcome === "notRun";
}

/** Retries with backoff while that is safe and attempts remain, otherwise parks. */
export function retryOrPark(
  workload: Pick<Workload, "idempotent" | "attempts">,
  attempt: FailedAttempt,
): Retry {
  const exhausted = attempt.attempts >= workload.attempts;
  if (exhausted || !isRetrySafe(workload, attempt)) return { type: "park" };
  return { type: "retry", delayMs: backoffMs(attempt.attempts) };
}
