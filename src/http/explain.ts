/**
 * Explains to operators why a work is in its state, why a team waits, and whether
 * a workload fits the fleet.
 *
 * @module
 */
import type { Instance } from "../daemon/instance.ts";
import { dominantShare } from "../resources.ts";
import type { Reason } from "../types.ts";
import type { WorkView } from "../controllers/work_view.ts";
import { describe } from "./answers.ts";
import { waitReason, workReason } from "./reasons.ts";

/** An explanation: one sentence for a person, the reason and the facts. */
export type Explanation =
  | {
    readonly type: "work" | "team" | "workload";
    readonly summary: string;
    readonly reason?: Reason;
    readonly facts: unknown;
  }
  | { readonly type: "unknown"; readonly summary: string };

/** Answers a query of the form `work=ID`, `team=NAME` or `workload=NAME`. */
export async function explain(
  instance: Instance,
  query: URLSearchParams,
): Promise<Explanation> {
  const work = query.get("work");
  if (work !== null) return await explainWork(instance, work);
  const team = query.get("team");
  if (team !== null) return explainTeam(instance, team);
  const workload = query.get("workload");
  if (workload !== null) return explainWorkload(instance, workload);
  return unknown("ask for work=ID, team=NAME or workload=NAME");
}

async function explainWork(
  instance: Instance,
  id: string,
): Promise<Explanation> {
  const answer = await instance.workService.show(id);
  if (answer.type === "unknownWork") return unknown(`there is no work ${id}`);
  if (answer.type === "notHeld") {
    const reason: Reason = { type: "noOwner" };
    const summary = `the instance that holds ${id} is being replaced`;
    return { type: "work", summary, reason, facts: {} };
  }
  const facts = answer.work as Pick<
    WorkView,
    "status" | "workload" | "team" | "tasks"
  >;
  const reason = workReason(facts.tasks, () => waitReasonOf(instance, facts));
  const reasonText = reason === undefined ? "" : `: ${describe(reason)}`;
  const summary =
    `work ${id} of team ${facts.team} is ${facts.status}${reasonText}`;
  return { type: "work", summary, reason, facts };
}

function waitReasonOf(
  instance: Instance,
  { workload: name, team }: {
    readonly workload: string;
    readonly team: string;
  },
): Reason {
  const { authority, membership, settings, shares } = instance;
  const workload = settings.workload(name);
  return waitReason({
    team,
    workload: name,
    known: workload !== undefined,
    couldEverFit: workload === undefined ||
      instance.couldEverFit(workload.resources),
    inContact: authority.hasValidLease(),
    storeReached: membership.reachability().type === "up",
    limit: settings.limits().get(team),
    running: shares.usage(team).slots,
    rank: shares.rank(team),
    fairRank: shares.fairRank(),
  });
}

function explainTeam(instance: Instance, team: string): Explanation {
  const { settings, shares, fleetCapacity } = withFleetCapacity(instance);
  if (!settings.set().teams.has(team)) return unknown(`no team ${team}`);
  const usage = shares.usage(team);
  const limit = settings.limits().get(team);
  const share = dominantShare(usage, fleetCapacity);
  const waiting = [...instance.queue.heads({ team })].length;
  const atLimit = limit !== undefined && usage.slots >= limit;
  const state = atLimit
    ? `is at its upper limit of ${limit}`
    : waiting > 0
    ? "waits for room"
    : "has nothing waiting here";
  const summary = `team ${team} has ${usage.slots} running and ${state}`;
  const [head] = instance.queue.heads({ team });
  const overLimit: Reason | undefined = atLimit
    ? { type: "overLimit", team, limit }
    : undefined;
  const reason = head === undefined
    ? overLimit
    : waitReasonOf(instance, { team, workload: head.workload });
  const facts = {
    usage,
    share,
    limit,
    weight: shares.weight(team),
    rank: shares.rank(team),
    fairRank: shares.fairRank(),
    waitingWorkloads: waiting,
  };
  return { type: "team", summary, reason, facts };
}

function withFleetCapacity(instance: Instance) {
  const { settings, shares, pool, matching } = instance;
  const own = pool.totals().capacity;
  const peers = matching.peerLoads.capacity();
  const fleetCapacity = {
    cpuMillis: own.cpuMillis + peers.cpuMillis,
    memoryMib: own.memoryMib + peers.memoryMib,
    accelerators: own.accelerators + peers.accelerators,
    slots: own.slots + peers.slots,
  };
  return { settings, shares, fleetCapacity };
}

function explainWorkload(instance: Instance, name: string): Explanation {
  const workload = instance.settings.workload(name);
  if (workload === undefined) return unknown(`there is no workload ${name}`);
  const fits = instance.couldEverFit(workload.resources);
  const reason: Reason | undefined = fits
    ? undefined
    : { type: "neverFits", workload: name };
  const waiting = [...instance.queue.heads({ workload: name })].length;
  const summary = reason === undefined
    ? `workload ${name} fits the fleet; ${waiting} teams wait for it here`
    : describe(reason);
  const facts = { workload, waiting };
  return { type: "workload", summary, reason, facts };
}

function unknown(summary: string): Explanation {
  return { type: "unknown", summary };
}
