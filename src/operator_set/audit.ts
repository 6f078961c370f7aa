/**
 * Likely mistakes in a valid operator set: entries that can never take effect,
 * entries that contradict each other, and repeated entries.
 *
 * Findings do not prevent publishing, because an operator may publish a change in
 * several steps.
 *
 * @module
 */
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";

/** Type of a finding. */
export type FindingType =
  /** The entry can never take effect. */
  | "neverMatches"
  /** Two values of the set cannot both be used in full. */
  | "contradiction"
  /** Another entry already has the same effect. */
  | "redundant";

/** A likely mistake for an operator to review. */
export interface Finding {
  readonly type: FindingType;
  /** Kind and name of the object, as in the header of its section. */
  readonly object: string;
  readonly message: string;
}

/** Yields all findings of a set that has passed the checks. */
export function* auditSet(set: OperatorSet): Generator<Finding> {
  yield* unusedTeams(set);
  yield* unusedKeys(set);
  yield* unusedQueues(set);
  yield* queuesWithoutKeys(set);
  yield* unusedSharesAndLimits(set);
  yield* replicasAboveLimit(set);
  yield* attemptsBeyondDueTime(set);
  yield* duplicateEntries(set);
}

function* unusedTeams(set: OperatorSet): Generator<Finding> {
  const used = teamsOfQueues(set);
  for (const { name } of set.teams.values()) {
    if (used.has(name)) continue;
    yield {
      type: "neverMatches",
      object: `team ${name}`,
      message: "no queue lists the team, so it cannot submit anything",
    };
  }
}

function* unusedKeys(set: OperatorSet): Generator<Finding> {
  const used = teamsOfQueues(set);
  for (const { name, team, withdrawn } of set.keys.values()) {
    if (withdrawn || used.has(team)) continue;
    yield {
      type: "neverMatches",
      object: `key ${name}`,
      message:
        `no queue lists team \`${team}\`, so nothing can be submitted with the key`,
    };
  }
}

function* unusedQueues(set: OperatorSet): Generator<Finding> {
  const used = new Set(
    [...set.workloads.values()].map(({ queue }) => queue),
  );
  for (const { name } of set.queues.values()) {
    if (used.has(name)) continue;
    yield {
      type: "neverMatches",
      object: `queue ${name}`,
      message: "no workload uses the queue",
    };
  }
}

/** Queues that require a key although none of their teams has a valid one. */
function* queuesWithoutKeys(set: OperatorSet): Generator<Finding> {
  const keyed = new Set(
    [...set.keys.values()].filter(({ withdrawn }) => !withdrawn)
      .map(({ team }) => team),
  );
  for (const { name, open, teams } of set.queues.values()) {
    if (open || teams.some((team) => keyed.has(team))) continue;
    yield {
      type: "neverMatches",
      object: `queue ${name}`,
      message:
        "no team of the queue has a valid key, so nobody can submit to it",
    };
  }
}

function* unusedSharesAndLimits(set: OperatorSet): Generator<Finding> {
  const used = teamsOfQueues(set);
  const entries = [
    ...[...set.shares.values()].map((share) => ({ kind: "share", ...share })),
    ...[...set.limits.values()].map((limit) => ({ kind: "limit", ...limit })),
  ];
  for (const { kind, name, team } of entries) {
    if (used.has(team)) continue;
    yield {
      type: "neverMatches",
      object: `${kind} ${name}`,
      message: `no queue lists team \`${team}\``,
    };
  }
}

/** Services with more replicas than the teams of their queue may have running. */
function* replicasAboveLimit(set: OperatorSet): Generator<Finding> {
  for (const workload of set.workloads.values()) {
    if (workload.kind !== "service" || workload.replicas === 0) continue;
    const limit = maxRunning(set, set.queues.get(workload.queue));
    if (workload.replicas <= limit) continue;
    yield {
      type: "contradiction",
      object: `workload ${workload.name}`,
      message:
        `keeps ${workload.replicas} replicas, but the teams of its queue may have only ${limit} running`,
    };
  }
}

/** Workloads whose attempts may take longer than their due time allows. */
function* attemptsBeyondDueTime(set: OperatorSet): Generator<Finding> {
  for (const workload of set.workloads.values()) {
    const dueMs = dueMsOf(workload);
    const allAttemptsMs = workload.attempts * workload.timeoutMs;
    if (dueMs === 0 || allAttemptsMs <= dueMs) continue;
    yield {
      type: "contradiction",
      object: `workload ${workload.name}`,
      message:
        `is due after ${dueMs} ms, but ${workload.attempts} attempts of ${workload.timeoutMs} ms may take ${allAttemptsMs} ms`,
    };
  }
}

/** Drains of the same worker and resumes of the same work. */
function* duplicateEntries(set: OperatorSet): Generator<Finding> {
  const drains = [...set.drains.values()].map(({ name, worker }) => ({
    object: `drain ${name}`,
    subject: `worker \`${worker}\``,
  }));
  const resumes = [...set.resumes.values()].map(({ name, work }) => ({
    object: `resume ${name}`,
    subject: `work \`${work}\``,
  }));
  const firstBySubject = new Map<string, string>();
  for (const { object, subject } of [...drains, ...resumes]) {
    const earlier = firstBySubject.get(subject);
    if (earlier === undefined) {
      firstBySubject.set(subject, object);
      continue;
    }
    yield {
      type: "redundant",
      object,
      message: `\`${earlier}\` already names ${subject}`,
    };
  }
}

function teamsOfQueues(set: OperatorSet): ReadonlySet<string> {
  return new Set([...set.queues.values()].flatMap(({ teams }) => teams));
}

/** Sum of the limits of the teams of a queue; Infinity if a team has no limit. */
function maxRunning(set: OperatorSet, queue: Queue | undefined): number {
  const limits = new Map(
    [...set.limits.values()].map(({ team, running }) => [team, running]),
  );
  return (queue?.teams ?? []).reduce(
    (sum, team) => sum + (limits.get(team) ?? Infinity),
    0,
  );
}

/** Due time after submission, in milliseconds; 0 if there is none. */
function dueMsOf(workload: Workload): number {
  switch (workload.kind) {
    case "service":
      return 0;
    case "batch":
    case "gang":
      return workload.dueMs;
  }
}
