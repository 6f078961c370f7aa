/**
 * What the policies of all kinds of workload have in common.
 *
 * @module
 */
import type { Workload } from "../operator_set.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { Spread } from "../policy/spread.ts";
import type { Waiting } from "../policy/waiting.ts";
import type { Resources, Urgency } from "../types.ts";

/** A kind of workload. */
export type Kind = Workload["kind"];

/** The settings of one kind. */
export type WorkloadOf<K extends Kind> = Extract<Workload, { kind: K }>;

/** What a placement depends on besides the workload. */
export interface PlacementContext {
  readonly pool: WorkerPool;
  /** What one task takes; the estimate where there is one. */
  readonly need: Resources;
  /** Workers that must not be used. */
  readonly avoid?: ReadonlySet<string>;
  /** Where replicas of the workload already run. */
  readonly spread?: Spread;
}

/** Where work goes, or why it goes nowhere. */
export type Placement =
  /** One worker id for each task. */
  | { readonly type: "placed"; readonly workers: readonly string[] }
  /** It fits once others have ended. */
  | { readonly type: "noRoom" }
  /** It fits on no worker, however empty. */
  | { readonly type: "neverFits" };

/** Running work that might give way. */
export interface Victim {
  readonly attempt: string;
  readonly kind: Kind;
  readonly urgency: Urgency;
  readonly checkpoints: boolean;
  readonly idempotent: boolean;
  /** Share of its team over weight. */
  readonly rank: number;
}

/** The work that wants the room. */
export interface Claimant {
  readonly urgency: Urgency;
  /** Share of its team over weight. */
  readonly rank: number;
}

/** How one attempt ended without success. */
export interface FailedAttempt {
  /** Attempts made, this one included. */
  readonly attempts: number;
  /** `notRun`: no worker ran it; `failed`: it ran and failed; `unknown`: it may have run. */
  readonly ending: "notRun" | "failed" | "unknown";
}

/** What follows a failed attempt. */
export type Retry =
  | { readonly type: "retry"; readonly delayMs: number }
  /** Kept, visible, until an operator lets it run again. */
  | { readonly type: "park" }
  /** Answered to the caller as it stands. */
  | { readonly type: "answer" };

/** The policy of one kind. */
export interface Policy<K extends Kind> {
  /** Finds room for one request or task, or for all tasks of a gang; nothing is taken. */
  place(workload: WorkloadOf<K>, context: PlacementContext): Placement;
  /** Orders waiting work of the kind; negative if `a` goes first. */
  order(a: Waiting, b: Waiting): number;
  /** Whether running work may be checkpointed or stopped for the claimant. */
  mayPreempt(claimant: Claimant, victim: Victim): boolean;
  /** What follows a failed attempt. */
  retry(workload: WorkloadOf<K>, attempt: FailedAttempt): Retry;
}

/** What the registry knows of a kind. */
export interface Definition<K extends Kind> {
  readonly kind: K;
  /** Whether the fields of a configuration section describe this kind. */
  detects(fields: Readonly<Record<string, unknown>>): boolean;
  readonly policy: Policy<K>;
}

/** Turns the outcome of a search into a placement. */
export function placementOf(
  workers: readonly string[] | undefined,
  context: PlacementContext,
): Placement {
  if (workers !== undefined) return { type: "placed", workers };
  return context.pool.couldEverFit(context.need)
    ? { type: "noRoom" }
    : { type: "neverFits" };
}

/** First delay before another attempt; each further one is twice as long. */
const FIRST_RETRY_MS = 500;
/** Longest delay before another attempt. */
const MAX_RETRY_MS = 60_000;

/** Delay before the next attempt of deferred work. */
export function backoffMs(attempts: number): number {
  return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (attempts - 1));
}

/** Whether another attempt can do no harm. */
export function isRepeatable(
  workload: Pick<Workload, "idempotent">,
  attempt: FailedAttempt,
): boolean {
  return workload.idempotent || attempt.ending === "notRun";
}

/** Retries with backoff while attempts are left, then parks. */
export function retryOrPark(
  workload: Pick<Workload, "idempotent" | "attempts">,
  attempt: FailedAttempt,
): Retry {
  const spent = attempt.attempts >= workload.attempts;
  if (spent || !isRepeatable(workload, attempt)) return { type: "park" };
  return { type: "retry", delayMs: backoffMs(attempt.attempts) };
}
