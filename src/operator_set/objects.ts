/**
 * Reads single objects of the operators' set from their sections.
 *
 * @module
 */
import { type IniSection, objectName } from "../ini/document.ts";
import { type Problem, problem } from "../ini/problem.ts";
import { readSection, type Schema, type Values } from "../ini/schema.ts";
import type {
  Drain,
  Evacuate,
  Key,
  Limit,
  Queue,
  Resume,
  Share,
  Team,
  Workload,
  WorkloadCommon,
} from "../operator_set.ts";
import {
  objectSchemas,
  type WorkloadKind,
  workloadSchemas,
  type WorkloadValues,
} from "./schemas.ts";

/** An object of a set by kind. */
export interface ObjectByKind {
  team: Team;
  key: Key;
  queue: Queue;
  share: Share;
  limit: Limit;
  workload: Workload;
  drain: Drain;
  evacuate: Evacuate;
  resume: Resume;
}

/** An object, or what is wrong with its section. */
export interface ObjectReading<T> {
  readonly object?: T;
  readonly problems: readonly Problem[];
}

type Reader<T> = (section: IniSection) => ObjectReading<T>;

/** Readers of sections by kind. */
export const objectReaders: {
  readonly [K in keyof ObjectByKind]: Reader<ObjectByKind[K]>;
} = {
  team: reader(objectSchemas.team, (name, values) => ({ name, ...values })),
  key: reader(objectSchemas.key, (name, values) => ({ name, ...values })),
  queue: reader(objectSchemas.queue, (name, values) => ({
    name,
    urgency: values.urgency,
    open: values.open,
    teams: values.teams,
    maxWaiting: values.max_waiting,
    maxWaitMs: values.max_wait,
  })),
  share: reader(objectSchemas.share, (name, values) => ({ name, ...values })),
  limit: reader(objectSchemas.limit, (name, values) => ({ name, ...values })),
  workload: readWorkload,
  drain: reader(objectSchemas.drain, (name, values) => ({ name, ...values })),
  evacuate: reader(
    objectSchemas.evacuate,
    (name, values) => ({ name, ...values }),
  ),
  resume: reader(objectSchemas.resume, (name, values) => ({ name, ...values })),
};

function reader<S extends Schema, T>(
  schema: S,
  build: (name: string, values: Values<S>) => T,
): Reader<T> {
  return (section) => {
    const { values, problems } = readSection(section, schema);
    return values === undefined
      ? { problems }
      : { object: build(section.name, values), problems };
  };
}

const workloadReaders: {
  readonly [K in WorkloadKind]: Reader<Workload>;
} = {
  service: reader(workloadSchemas.service, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "service",
    replicas: values.replicas,
    path: values.path,
  })),
  batch: reader(workloadSchemas.batch, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "batch",
    dueMs: values.due,
  })),
  gang: reader(workloadSchemas.gang, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "gang",
    tasks: values.tasks,
    dueMs: values.due,
  })),
};

function readWorkload(section: IniSection): ObjectReading<Workload> {
  const field = section.fields.find((other) => other.name === "kind");
  const line = field?.line ?? section.line;
  const object = objectName(section);
  const parsed = workloadSchemas.batch.kind.unit.parse(field?.value ?? "");
  return parsed.match(
    (kind) => workloadReaders[kind](section),
    ({ message }) => ({
      problems: [
        problem(field === undefined ? "missingField" : "badValue", {
          line,
          object,
          field: "kind",
          message,
        }),
      ],
    }),
  );
}

function workloadCommon(
  name: string,
  values: WorkloadValues<WorkloadKind>,
): WorkloadCommon {
  return {
    name,
    queue: values.queue,
    resources: {
      cpuMillis: values.cpu,
      memoryMib: values.memory,
      accelerators: values.accelerators,
      slots: values.slots,
    },
    idempotent: values.idempotent,
    timeoutMs: values.timeout,
    attempts: values.attempts,
  };
}
