/**
 * What a sound set may still get wrong: entries that can never take effect and
 * limits that contradict each other.
 *
 * A set with such findings may be published, as an operator may be halfway
 * through a change.
 *
 * @module
 */
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";

/** What kind of mistake a finding points to. */
export type FindingType =
  /** Nothing that can happen makes the entry take effect. */
  | "neverMatches"
  /** Two limits cannot both be used as they are written. */
  | "contradiction"
  /** Another entry already says the same. */
  | "redundant";

/** Something that an operator should look at. */
export interface Finding {
  readonly type: FindingType;
  /** The object as the set names it: kind and name. */
  readonly object: string;
  readonly message: string;
}

/** Everything about a checked set that an operator should look at. */
export function* auditSet(set: OperatorSet): Generator<Finding> {
  yield* unusedTeams(set);
  yield* unusedKeys(set);
  yield* unusedQueues(set);
  yield* closedQueues(set);
  yield* unusedShares(set);
  yield* contradictingLimits(set);
  yield* hopelessRetries(set);
  yield* repeatedEntries(set);
}

function* unusedTeams(set: OperatorSet): Generator<Finding> {
  const used = teamsOfQueues(set);
  for (const { name } of set.teams.values()) {
    if (used.has(name)) continue;
    yield {
      type: "neverMatches",
      object: `team ${name}`,
      message: "no queue names the team, so it can submit nothing",
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
      message: `no queue names team \`${team}\`, so the key lets nothing in`,
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

/** Queues that need a key while no team of theirs has one. */
function* closedQueues(set: OperatorSet): Generator<Finding> {
  const keyed = new Set(
    [...set.keys.values()].filter(({ withdrawn }) => !withdrawn)
      .map(({ team }) => team),
  );
  for (const { name, open, teams } of set.queues.values()) {
    if (open || teams.some((team) => keyed.has(team))) continue;
    yield {
      type: "neverMatches",
      object: `queue ${name}`,
      message: "none of its teams has a key that is not withdrawn",
    };
  }
}

function* unusedShares(set: OperatorSet): Generator<Finding> {
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
      message: `no queue names team \`${team}\``,
    };
  }
}

/** Services that are to keep more replicas than their teams may have running. */
function* contradictingLimits(set: OperatorSet): Generator<Finding> {
  for (const workload of set.workloads.values()) {
    if (workload.kind !== "service" || workload.replicas === 0) continue;
    const most = mostRunning(set, set.queues.get(workload.queue));
    if (workload.replicas <= most) continue;
    yield {
      type: "contradiction",
      object: `workload ${workload.name}`,
      message:
        `keeps ${workload.replicas} replicas, but the teams of its queue may have only ${most} running`,
    };
  }
}

/** Work that cannot use all its attempts before it is due. */
function* hopelessRetries(set: OperatorSet): Generator<Finding> {
  for (const workload of set.workloads.values()) {
    const dueMs = dueOf(workload);
    const needMs = workload.attempts * workload.timeoutMs;
    if (dueMs === 0 || needMs <= dueMs) continue;
    yield {
      type: "contradiction",
      object: `workload ${workload.name}`,
      message:
        `is due after ${dueMs} ms, but ${workload.attempts} attempts of ${workload.timeoutMs} ms may take ${needMs} ms`,
    };
  }
}

function* repeatedEntries(set: OperatorSet): Generator<Finding> {
  const drains = [...set.drains.values()].map(({ name, worker }) => ({
    object: `drain ${name}`,
    subject: `worker \`${worker}\``,
  }));
  const resumes = [...set.resumes.values()].map(({ name, work }) => ({
    object: `resume ${name}`,
    subject: `work \`${work}\``,
  }));
  const first = new Map<string, string>();
  for (const { object, subject } of [...drains, ...resumes]) {
    const earlier = first.get(subject);
    if (earlier === undefined) {
      first.set(subject, object);
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

/** What all teams of a queue together may have running; Infinity if one has no limit. */
function mostRunning(set: OperatorSet, queue: Queue | undefined): number {
  const limits = new Map(
    [...set.limits.values()].map(({ team, running }) => [team, running]),
  );
  return (queue?.teams ?? []).reduce(
    (sum, team) => sum + (limits.get(team) ?? Infinity),
    0,
  );
}

/** Time from submission in which work is to be done, milliseconds; 0 for none. */
function dueOf(workload: Workload): number {
  switch (workload.kind) {
    case "service":
      return 0;
    case "batch":
    case "gang":
      return workload.dueMs;
  }
}
