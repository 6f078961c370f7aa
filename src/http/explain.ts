/**
 * Explains to operators why work waits, ran where it did or was refused, and
 * why a team is below its share.
 *
 * @module
 */
import type { Instance } from "../daemon/instance.ts";
import { dominantShare } from "../resources.ts";
import type { Reason } from "../types.ts";
import { describe } from "./answers.ts";

/** An explanation: the facts, and one sentence for a person. */
export type Explanation =
  | {
    readonly type: "work" | "team" | "workload";
    readonly summary: string;
    readonly reason?: Reason;
    readonly facts: unknown;
  }
  | { readonly type: "unknown"; readonly summary: string };

/** Answers a question of the form `work=ID`, `team=NAME` or `workload=NAME`. */
export async function explain(
  instance: Instance,
  asked: URLSearchParams,
): Promise<Explanation> {
  const work = asked.get("work");
  if (work !== null) return await explainWork(instance, work);
  const team = asked.get("team");
  if (team !== null) return explainTeam(instance, team);
  const workload = asked.get("workload");
  if (workload !== null) return explainWorkload(instance, workload);
  return unknown("ask for work=ID, team=NAME or workload=NAME");
}

async function explainWork(
  instance: Instance,
  id: string,
): Promise<Explanation> {
  const answer = await instance.desk.show(id);
  if (answer.type === "unknownWork") return unknown(`there is no work ${id}`);
  if (answer.type === "notHeld") {
    const reason: Reason = { type: "noOwner" };
    const summary = `the instance that holds ${id} is being replaced`;
    return { type: "work", summary, reason, facts: {} };
  }
  const facts = answer.work as {
    readonly status: string;
    readonly workload: string;
    readonly team: string;
  };
  const waits = facts.status === "waiting";
  const reason = waits ? waitReason(instance, facts) : undefined;
  const why = reason === undefined ? "" : `: ${describe(reason)}`;
  const summary = `work ${id} of team ${facts.team} is ${facts.status}${why}`;
  return { type: "work", summary, reason, facts };
}

function waitReason(
  instance: Instance,
  work: { readonly workload: string; readonly team: string },
): Reason {
  const workload = instance.settings.workload(work.workload);
  if (workload === undefined) {
    return { type: "unknownWorkload", workload: work.workload };
  }
  if (!instance.couldEverFit(workload.resources)) {
    return { type: "neverFits", workload: work.workload };
  }
  const limit = instance.settings.limits().get(work.team);
  const running = instance.shares.usage(work.team).slots;
  if (limit !== undefined && running >= limit) {
    return { type: "overLimit", team: work.team, limit };
  }
  if (instance.membership.reach().type !== "up") return { type: "storeAway" };
  const fair = instance.shares.fairRank();
  if (instance.shares.rank(work.team) > fair) {
    return { type: "overShare", team: work.team };
  }
  return { type: "noRoom", workload: work.workload };
}

function explainTeam(instance: Instance, team: string): Explanation {
  const { settings, shares, neighbours } = partsOf(instance);
  if (!settings.set().teams.has(team)) return unknown(`no team ${team}`);
  const usage = shares.usage(team);
  const limit = settings.limits().get(team);
  const share = dominantShare(usage, neighbours);
  const waiting = [...instance.queue.heads({ team })].length;
  const atLimit = limit !== undefined && usage.slots >= limit;
  const state = atLimit
    ? `is at its upper limit of ${limit}`
    : waiting > 0
    ? "waits for room"
    : "has nothing waiting here";
  const summary = `team ${team} has ${usage.slots} running and ${state}`;
  const reason: Reason | undefined = atLimit
    ? { type: "overLimit", team, limit }
    : undefined;
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

function partsOf(instance: Instance) {
  const { settings, shares, pool, matching } = instance;
  const own = pool.totals().capacity;
  const peers = matching.neighbours.capacity();
  const neighbours = {
    cpuMillis: own.cpuMillis + peers.cpuMillis,
    memoryMib: own.memoryMib + peers.memoryMib,
    accelerators: own.accelerators + peers.accelerators,
    slots: own.slots + peers.slots,
  };
  return { settings, shares, neighbours };
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
