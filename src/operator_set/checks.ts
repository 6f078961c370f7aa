/**
 * Checks across the objects of an operator set: references, queues, shares, limits
 * and workloads.
 *
 * @module
 */
import type { IniSection } from "../ini/document.ts";
import { type Problem, problem, type ProblemType } from "../ini/problem.ts";
import { suggestion } from "../ini/nearest.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import { gangsOverLimit } from "./fleet_checks.ts";
import type { SectionKind } from "./schemas.ts";

/** Sections by object name. */
export type Sections = ReadonlyMap<string, IniSection>;

/** Object, field and message of a problem. */
interface ProblemDetails {
  readonly object: string;
  readonly field: string;
  readonly message: string;
}

/** Reports all problems of a set whose objects are each valid on their own. */
export function checkSet(set: OperatorSet, sections: Sections): Problem[] {
  return [
    ...danglingReferences(set, sections),
    ...queueProblems(set, sections),
    ...duplicateTeamEntries([...set.shares.values()], {
      kind: "share",
      type: "shareClash",
      sections,
    }),
    ...duplicateTeamEntries([...set.limits.values()], {
      kind: "limit",
      type: "limitClash",
      sections,
    }),
    ...workloadProblems(set, sections),
    ...gangsOverLimit(set).map((found) => addLine(found, sections)),
  ];
}

/** Adds the line of the field to a problem, or else the line of the object. */
export function addLine(found: Problem, sections: Sections): Problem {
  const section = sections.get(found.object);
  const field = section?.fields.find((other) => other.name === found.field);
  return { ...found, line: field?.line ?? section?.line ?? 0 };
}

/** A reference from a field of `object` to the object `kind name`. */
interface Reference {
  readonly object: string;
  readonly field: string;
  readonly kind: SectionKind;
  readonly name: string;
}

function danglingReferences(
  set: OperatorSet,
  sections: Sections,
): Problem[] {
  return references(set)
    .filter(({ kind, name }) => !sections.has(`${kind} ${name}`))
    .map((reference) => danglingReferenceProblem(reference, sections));
}

function danglingReferenceProblem(
  reference: Reference,
  sections: Sections,
): Problem {
  const { object, field, kind, name } = reference;
  const known = [...sections.values()]
    .filter((section) => section.kind === kind)
    .map((section) => section.name);
  const hint = suggestion(name, known);
  const message = `there is no ${kind} \`${name}\`${hint}`;
  return problemAt("danglingReference", { object, field, message }, sections);
}

function references(set: OperatorSet): Reference[] {
  return [
    ...[...set.keys.values()].map((key) => teamReference("key", key)),
    ...[...set.shares.values()].map((share) => teamReference("share", share)),
    ...[...set.limits.values()].map((limit) => teamReference("limit", limit)),
    ...[...set.queues.values()].flatMap(teamReferences),
    ...[...set.workloads.values()].map(queueReference),
  ];
}

function teamReference(
  kind: SectionKind,
  object: { readonly name: string; readonly team: string },
): Reference {
  return {
    object: `${kind} ${object.name}`,
    field: "team",
    kind: "team",
    name: object.team,
  };
}

function teamReferences(queue: Queue): Reference[] {
  return queue.teams.map((name) => ({
    object: `queue ${queue.name}`,
    field: "teams",
    kind: "team",
    name,
  }));
}

function queueReference(workload: Workload): Reference {
  return {
    object: `workload ${workload.name}`,
    field: "queue",
    kind: "queue",
    name: workload.queue,
  };
}

function queueProblems(set: OperatorSet, sections: Sections): Problem[] {
  return [...set.queues.values()].flatMap((queue) => {
    const object = `queue ${queue.name}`;
    const field = "teams";
    if (queue.teams.length === 0) {
      const message = "the queue has no team";
      const finding = { object, field, message };
      return [problemAt("queueWithoutTeam", finding, sections)];
    }
    if (queue.open && queue.teams.length > 1) {
      const message = "an open queue must have exactly one team";
      return [problemAt("openQueue", { object, field, message }, sections)];
    }
    return [];
  });
}

/** Reports shares or limits of a team that already has an earlier one. */
function duplicateTeamEntries(
  objects: readonly { readonly name: string; readonly team: string }[],
  options: {
    readonly kind: "share" | "limit";
    readonly type: ProblemType;
    readonly sections: Sections;
  },
): Problem[] {
  const { kind, type, sections } = options;
  return objects.flatMap((object, index) => {
    const earlier = objects.findIndex((other) => other.team === object.team);
    if (earlier === index) return [];
    const first = objects[earlier]!;
    const message =
      `team \`${object.team}\` already has ${kind} \`${first.name}\``;
    const finding = {
      object: `${kind} ${object.name}`,
      field: "team",
      message,
    };
    return [problemAt(type, finding, sections)];
  });
}

function workloadProblems(set: OperatorSet, sections: Sections): Problem[] {
  return [...set.workloads.values()].flatMap((workload) => {
    const misfit = findMisfit(workload);
    if (misfit === undefined) return [];
    const object = `workload ${workload.name}`;
    return [problemAt("workloadMisfit", { object, ...misfit }, sections)];
  });
}

/** Finds a service path without a leading slash, or a due time shorter than the timeout. */
function findMisfit(
  workload: Workload,
): Omit<ProblemDetails, "object"> | undefined {
  switch (workload.kind) {
    case "service":
      if (workload.path.startsWith("/")) return undefined;
      return { field: "path", message: "must begin with /" };
    case "batch":
    case "gang":
      if (workload.dueMs === 0) return undefined;
      if (workload.dueMs >= workload.timeoutMs) return undefined;
      return { field: "due", message: "is shorter than the timeout" };
  }
}

function problemAt(
  type: ProblemType,
  finding: ProblemDetails,
  sections: Sections,
): Problem {
  return addLine(problem(type, finding), sections);
}
