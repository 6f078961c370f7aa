/**
 * Resolves the service of a request, its queue and its team. For an open queue
 * the team is the queue's own; otherwise it is the team of the presented key.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { verifyKey } from "../operator_set/keys.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import type { Outcome, Reason } from "../types.ts";
import type { Exchange, Filter } from "./chain.ts";

/** A workload with the queue and the team of a request for it. */
export interface Access {
  readonly workload: Workload;
  readonly queue: Queue;
  readonly team: string;
}

/** Resolves the access of a caller to a workload, or the reason to reject it. */
export function resolveAccess(
  set: OperatorSet,
  request: { readonly workload: string; readonly key?: string },
): Result<Access, Reason> {
  const workload = set.workloads.get(request.workload);
  const queue = workload && set.queues.get(workload.queue);
  if (workload === undefined || queue === undefined) {
    return rejectUnknownWorkload(set, request);
  }
  if (queue.open) return ok({ workload, queue, team: queue.teams[0]! });
  return teamOf(set, request.key).andThen((team) =>
    queue.teams.includes(team)
      ? ok({ workload, queue, team })
      : err<Access, Reason>({ type: "notAllowed", queue: queue.name })
  );
}

/** Team of a presented key; `unknownKey` or `withdrawnKey` if it is not valid. */
export function teamOf(
  set: OperatorSet,
  key: string | undefined,
): Result<string, Reason> {
  if (key === undefined) return err({ type: "unknownKey" });
  return verifyKey(set, key)
    .map(({ team }) => team)
    .mapErr(({ type }) => ({ type }));
}

/** Reason for an unknown workload. Callers without a valid key don't learn whether it exists. */
function rejectUnknownWorkload(
  set: OperatorSet,
  request: { readonly workload: string; readonly key?: string },
): Result<Access, Reason> {
  return teamOf(set, request.key).andThen(() =>
    err<Access, Reason>({
      type: "unknownWorkload",
      workload: request.workload,
    })
  );
}

/** Creates the filter. */
export function authenticate(current: () => OperatorSet): Filter {
  return (exchange, next) => {
    const access = resolveAccess(current(), exchange);
    return access.match(
      (granted) => next(withAccess(exchange, granted)),
      (reason) => Promise.resolve<Outcome>({ type: "notRun", reason }),
    );
  };
}

function withAccess(exchange: Exchange, access: Access): Exchange {
  const { workload, queue, team } = access;
  const service = workload.kind === "service" ? workload : undefined;
  return { ...exchange, team, queue, service };
}
