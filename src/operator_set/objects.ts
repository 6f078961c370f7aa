/**
 * Reads single objects of an operator set from their INI sections.
 *
 * @module
 */
import { type IniSection, objectName } from "../ini/document.ts";
import { type Problem, problem } from "../ini/problem.ts";
import { readSection, type Schema, type Values } from "../ini/schema.ts";
import type {
  Drain,
  Evacuation,
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

/** Type of the object that each kind of section declares. */
export interface ObjectByKind {
  team: Team;
  key: Key;
  queue: Queue;
  share: Share;
  limit: Limit;
  workload: Workload;
  drain: Drain;
  evacuate: Evacuation;
  resume: Resume;
}

/** Result of reading a section. `object` is absent if there are problems. */
export interface ObjectResult<T> {
  readonly object?: T;
  readonly problems: readonly Problem[];
}

type SectionReader<T> = (section: IniSection) => ObjectResult<T>;

/** Section readers by kind. */
export const objectReaders: {
  readonly [K in keyof ObjectByKind]: SectionReader<ObjectByKind[K]>;
} = {
  team: createReader(
    objectSchemas.team,
    (name, values) => ({ name, ...values }),
  ),
  key: createReader(objectSchemas.key, (name, values) => ({ name, ...values })),
  queue: createReader(objectSchemas.queue, (name, values) => ({
    name,
    urgency: values.urgency,
    open: values.open,
    teams: values.teams,
    maxWaiting: values.max_waiting,
    maxWaitMs: values.max_wait,
  })),
  share: createReader(
    objectSchemas.share,
    (name, values) => ({ name, ...values }),
  ),
  limit: createReader(
    objectSchemas.limit,
    (name, values) => ({ name, ...values }),
  ),
  workload: readWorkload,
  drain: createReader(
    objectSchemas.drain,
    (name, values) => ({ name, ...values }),
  ),
  evacuate: createReader(
    objectSchemas.evacuate,
    (name, values) => ({ name, ...values }),
  ),
  resume: createReader(
    objectSchemas.resume,
    (name, values) => ({ name, ...values }),
  ),
};

function createReader<S extends Schema, T>(
  schema: S,
  build: (name: string, values: Values<S>) => T,
): SectionReader<T> {
  return (section) => {
    const { values, problems } = readSection(section, schema);
    return values === undefined
      ? { problems }
      : { object: build(section.name, values), problems };
  };
}

const workloadReaders: {
  readonly [K in WorkloadKind]: SectionReader<Workload>;
} = {
  service: createReader(workloadSchemas.service, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "service",
    replicas: values.replicas,
    path: values.path,
  })),
  batch: createReader(workloadSchemas.batch, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "batch",
    dueMs: values.due,
  })),
  gang: createReader(workloadSchemas.gang, (name, values) => ({
    ...workloadCommon(name, values),
    kind: "gang",
    tasks: values.tasks,
    dueMs: values.due,
  })),
};

function readWorkload(section: IniSection): ObjectResult<Workload> {
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
