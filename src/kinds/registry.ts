/**
 * Registry of the kinds of workload. Detects the kind of a configuration section
 * and calls the policy of a kind.
 *
 * @module
 */
import { findFirst } from "fp-ts/lib/ReadonlyArray.js";
import { map, type Option } from "fp-ts/lib/Option.js";
import { pipe } from "fp-ts/lib/function.js";
import { assertNever } from "../errors.ts";
import type { Workload } from "../operator_set.ts";
import type { WaitingItem } from "../policy/waiting_queue.ts";
import { batch } from "./batch/definition.ts";
import { gang } from "./gang/definition.ts";
import type {
  Claimant,
  Definition,
  FailedAttempt,
  Kind,
  Placement,
  PlacementContext,
  Retry,
  Victim,
} from "./policy.ts";
import { service } from "./service/definition.ts";

/** All kinds, in the order in which they are matched against a section's fields. */
export const definitions = [gang, service, batch] as const;

/** Kind that a section names, otherwise the first kind that its fields match. */
export function detectKind(
  fields: Readonly<Record<string, unknown>>,
): Option<Kind> {
  return pipe(
    definitions as readonly Definition<Kind>[],
    findFirst((definition) => matchesKind(definition, fields)),
    map((definition) => definition.kind),
  );
}

/** Places a workload by the policy of its kind. */
export function place(
  workload: Workload,
  context: PlacementContext,
): Placement {
  switch (workload.kind) {
    case "service":
      return service.policy.place(workload, context);
    case "batch":
      return batch.policy.place(workload, context);
    case "gang":
      return gang.policy.place(workload, context);
    default:
      return assertNever(workload);
  }
}

/** Decides what to do after a failed attempt by the policy of the workload's kind. */
export function retry(workload: Workload, attempt: FailedAttempt): Retry {
  switch (workload.kind) {
    case "service":
      return service.policy.retry(workload, attempt);
    case "batch":
      return batch.policy.retry(workload, attempt);
    case "gang":
      return gang.policy.retry(workload, attempt);
    default:
      return assertNever(workload);
  }
}

/** Compares waiting work of one kind; negative if `a` is placed first. */
export function order(
  kind: Kind,
  pair: { readonly a: WaitingItem; readonly b: WaitingItem },
): number {
  return definitionOf(kind).policy.order(pair.a, pair.b);
}

/** Whether running work may be preempted for a claimant of a kind. */
export function mayPreempt(
  kind: Kind,
  parties: { readonly claimant: Claimant; readonly victim: Victim },
): boolean {
  return definitionOf(kind).policy.mayPreempt(parties.claimant, parties.victim);
}

function definitionOf(kind: Kind): Definition<Kind> {
  switch (kind) {
    case "service":
      return service as Definition<Kind>;
    case "batch":
      return batch as Definition<Kind>;
    case "gang":
      return gang as Definition<Kind>;
    default:
      return assertNever(kind);
  }
}

function matchesKind(
  definition: Definition<Kind>,
  fields: Readonly<Record<string, unknown>>,
): boolean {
  return "kind" in fields
    ? fields.kind === definition.kind
    : definition.matches(fields);
}
