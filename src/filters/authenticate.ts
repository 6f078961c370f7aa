/**
 * Finds the service, its queue and the team for which a request is taken.
 * Outside open queues that is the team whose key came with it.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { verifyKey } from "../operator_set/keys.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import type { Outcome, Reason } from "../types.ts";
import type { Exchange, Filter } from "./chain.ts";

/** A workload with the queue and team that work for it goes to. */
export interface Access {
  readonly workload: Workload;
  readonly queue: Queue;
  readonly team: string;
}

/** Decides for whom work is taken, or why it is not. */
export function accessOf(
  set: OperatorSet,
  asked: { readonly workload: string; readonly key?: string },
): Result<Access, Reason> {
  const workload = set.workloads.get(asked.workload);
  const queue = workload && set.queues.get(workload.queue);
  if (workload === undefined || queue === undefined) {
    return hidden(set, asked);
  }
  if (queue.open) return ok({ workload, queue, team: queue.teams[0]! });
  return teamOf(set, asked.key).andThen((team) =>
    queue.teams.includes(team)
      ? ok({ workload, queue, team })
      : err<Access, Reason>({ type: "notAllowed", queue: queue.name })
  );
}

/** The team of a presented key. */
export function teamOf(
  set: OperatorSet,
  key: string | undefined,
): Result<string, Reason> {
  if (key === undefined) return err({ type: "unknownKey" });
  return verifyKey(set, key)
    .map(({ team }) => team)
    .mapErr(({ type }) => ({ type }));
}

/** Tells only holders of a key that a workload does not exist. */
function hidden(
  set: OperatorSet,
  asked: { readonly workload: string; readonly key?: string },
): Result<Access, Reason> {
  return teamOf(set, asked.key).andThen(() =>
    err<Access, Reason>({
      type: "unknownWorkload",
      workload: asked.workload,
    })
  );
}

/** Makes the filter. */
export function authenticate(current: () => OperatorSet): Filter {
  return (exchange, next) => {
    const access = accessOf(current(), exchange);
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
