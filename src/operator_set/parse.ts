/**
 * Parses an operator set from INI text and checks it as a whole.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type IniDocument,
  type IniSection,
  objectName,
  readDocument,
} from "../ini/document.ts";
import { suggestion } from "../ini/nearest.ts";
import { type Problem, problem } from "../ini/problem.ts";
import { NAME_PATTERN } from "../ini/units.ts";
import type { OperatorSet } from "../operator_set.ts";
import { checkSet } from "./checks.ts";
import { type ObjectByKind, objectReaders } from "./objects.ts";
import { type SectionKind, sectionKinds } from "./schemas.ts";

/** Largest size of the text of an operator set. */
export const MAX_SET_BYTES = 16 * 1024 * 1024;

/** Objects of a partly read set, by kind and name. */
type DraftMaps = {
  readonly [K in keyof ObjectByKind]: Map<string, ObjectByKind[K]>;
};

/** A partly read set. */
interface Draft {
  readonly maps: DraftMaps;
  /**
   * Sections by object name. Includes objects with problems, so that references
   * to them are not reported as dangling.
   */
  readonly sections: Map<string, IniSection>;
  readonly problems: Problem[];
}

/**
 * Parses and checks a set. Fails with every problem found, ordered by line.
 * `file` is the name that the problems report.
 */
export function parseOperatorSet(
  text: string,
  options: { readonly file: string },
): Result<OperatorSet, readonly Problem[]> {
  const { file } = options;
  if (Buffer.byteLength(text) > MAX_SET_BYTES) {
    const message = `the set is larger than ${MAX_SET_BYTES} bytes`;
    return err([problem("tooLarge", { file, message })]);
  }
  const draft = readDraft(readDocument(text, file));
  const set = toOperatorSet(draft.maps);
  const problems = [...draft.problems, ...checkSet(set, draft.sections)]
    .map((found) => ({ ...found, file }))
    .sort((a, b) => a.line - b.line);
  return problems.length === 0 ? ok(set) : err(problems);
}

/** An operator set without any objects. */
export function emptySet(): OperatorSet {
  return toOperatorSet(emptyMaps());
}

function readDraft(document: IniDocument): Draft {
  const draft: Draft = {
    maps: emptyMaps(),
    sections: new Map(),
    problems: [...document.problems],
  };
  for (const section of document.sections) readObject(section, draft);
  return draft;
}

function readObject(section: IniSection, draft: Draft): void {
  const kind = sectionKinds.find((known) => known === section.kind);
  const sectionProblem = kind === undefined
    ? unknownSectionProblem(section)
    : nameProblem(section, draft.sections);
  if (sectionProblem !== undefined) draft.problems.push(sectionProblem);
  if (kind === undefined || sectionProblem !== undefined) return;
  draft.sections.set(objectName(section), section);
  addObject(kind, section, draft);
}

function addObject<K extends SectionKind>(
  kind: K,
  section: IniSection,
  draft: Draft,
): void {
  const { object, problems } = objectReaders[kind](section);
  draft.problems.push(...problems);
  if (object !== undefined) draft.maps[kind].set(section.name, object);
}

function unknownSectionProblem(section: IniSection): Problem {
  const hint = suggestion(section.kind, sectionKinds);
  return problem("unknownSection", {
    line: section.line,
    object: objectName(section),
    message: `no such kind of object${hint}`,
  });
}

function nameProblem(
  section: IniSection,
  sections: ReadonlyMap<string, IniSection>,
): Problem | undefined {
  const object = objectName(section);
  const { line } = section;
  if (!NAME_PATTERN.test(section.name)) {
    const message = "the name must be of a-z, 0-9 and -";
    return problem("badName", { line, object, message });
  }
  const earlier = sections.get(object);
  if (earlier === undefined) return undefined;
  const message = `already declared on line ${earlier.line}`;
  return problem("duplicateObject", { line, object, message });
}

function emptyMaps(): DraftMaps {
  return {
    team: new Map(),
    key: new Map(),
    queue: new Map(),
    share: new Map(),
    limit: new Map(),
    workload: new Map(),
    drain: new Map(),
    evacuate: new Map(),
    resume: new Map(),
  };
}

function toOperatorSet(maps: DraftMaps): OperatorSet {
  return {
    teams: maps.team,
    keys: maps.key,
    queues: maps.queue,
    shares: maps.share,
    limits: maps.limit,
    workloads: maps.workload,
    drains: maps.drain,
    evacuations: maps.evacuate,
    resumes: maps.resume,
  };
}
