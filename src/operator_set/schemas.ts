/**
 * Schemas of the sections of an operator set: the fields of each kind of object.
 *
 * @module
 */
import type { Schema, Values } from "../ini/schema.ts";
import * as unit from "../ini/units.ts";

const team = {
  account: {
    unit: unit.text,
    fallback: "",
    help: "Client account that the team belongs to.",
  },
} satisfies Schema;

const key = {
  team: {
    unit: unit.objectReference,
    help: "Team that the key lets work in for.",
  },
  salt: { unit: unit.hex(16), help: "Salt of the hash." },
  hash: { unit: unit.hex(32), help: "SHA-256 of salt and secret." },
  withdrawn: {
    unit: unit.boolean,
    fallback: "false",
    help: "Whether the key no longer lets work in.",
  },
} satisfies Schema;

const queue = {
  urgency: {
    unit: unit.oneOf(["urgent", "deferred"]),
    help: "Whether callers wait for the answer or work may be done later.",
  },
  open: {
    unit: unit.boolean,
    fallback: "false",
    help: "Whether work is taken without a key, for the one team of the queue.",
  },
  teams: { unit: unit.objectReferences, help: "Teams that may use the queue." },
  max_waiting: {
    unit: unit.integer(1),
    fallback: "1000",
    help: "Most requests or tasks that may wait at one instance.",
  },
  max_wait: {
    unit: unit.positiveDuration,
    fallback: "10s",
    help: "Longest time that an urgent request may wait.",
  },
} satisfies Schema;

const share = {
  team: { unit: unit.objectReference, help: "Team that the share is for." },
  weight: {
    unit: unit.positive,
    help: "Weight against the other teams while the fleet is full.",
  },
} satisfies Schema;

const limit = {
  team: { unit: unit.objectReference, help: "Team that the limit is for." },
  running: {
    unit: unit.integer(1),
    help: "Most tasks and requests running at once across the whole fleet.",
  },
} satisfies Schema;

const drain = {
  worker: { unit: unit.nonEmptyText, help: "Worker that gets no new work." },
} satisfies Schema;

const evacuate = {
  zone: {
    unit: unit.nonEmptyText,
    help: "Zone whose workers get no new work.",
  },
} satisfies Schema;

const resume = {
  work: { unit: unit.nonEmptyText, help: "Parked work that may run again." },
} satisfies Schema;

const workload = {
  kind: {
    unit: unit.oneOf(["service", "batch", "gang"]),
    help: "Policy that the workload is run by.",
  },
  queue: {
    unit: unit.objectReference,
    help: "Queue in which its work waits.",
  },
  cpu: {
    unit: unit.cpu,
    fallback: "1",
    help: "Cores that one task or request takes.",
  },
  memory: {
    unit: unit.memory,
    fallback: "512MiB",
    help: "Memory that one task or request takes.",
  },
  accelerators: {
    unit: unit.integer(0),
    fallback: "0",
    help: "Accelerators that one task or request takes.",
  },
  slots: {
    unit: unit.integer(1),
    fallback: "1",
    help: "Slots of a worker that one task or request takes.",
  },
  idempotent: {
    unit: unit.boolean,
    fallback: "false",
    help: "Whether running it twice does no harm.",
  },
  timeout: {
    unit: unit.positiveDuration,
    fallback: "30s",
    help: "Longest run of one task or request.",
  },
  attempts: {
    unit: unit.integer(1),
    fallback: "3",
    help: "Attempts before a task is parked.",
  },
} satisfies Schema;

const due = {
  unit: unit.duration,
  fallback: "0s",
  help: "Time from submission in which it should be done; 0s for none.",
};

const service = {
  ...workload,
  replicas: {
    unit: unit.integer(0),
    fallback: "0",
    help:
      "Replicas to keep running; 0 where the platform runs them on every worker.",
  },
  path: {
    unit: unit.nonEmptyText,
    fallback: "/",
    help: "Path prefix that requests are sent to on the upstream.",
  },
} satisfies Schema;

const batch = { ...workload, due } satisfies Schema;

const gang = {
  ...workload,
  tasks: {
    unit: unit.integer(2),
    help: "Tasks that run all at once or not at all.",
  },
  due,
} satisfies Schema;

/** Schemas by section kind, except for workloads. */
export const objectSchemas = {
  team,
  key,
  queue,
  share,
  limit,
  drain,
  evacuate,
  resume,
};

/** Schemas of workload sections by the value of their `kind` field. */
export const workloadSchemas = { service, batch, gang };

/** Kinds of workloads. */
export type WorkloadKind = keyof typeof workloadSchemas;

/** Kinds of sections in an operator set. */
export const sectionKinds = [
  "team",
  "key",
  "queue",
  "share",
  "limit",
  "workload",
  "drain",
  "evacuate",
  "resume",
] as const;

/** Kind of a section. */
export type SectionKind = typeof sectionKinds[number];

/** Parsed values of a workload section of one kind. */
export type WorkloadValues<K extends WorkloadKind> = Values<
  typeof workloadSchemas[K]
>;
