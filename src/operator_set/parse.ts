/**
 * Reads the operators' set from its INI text and checks it as a whole.
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
import { NAME } from "../ini/units.ts";
import type { OperatorSet } from "../operator_set.ts";
import { checkSet } from "./checks.ts";
import { type ObjectByKind, objectReaders } from "./objects.ts";
import { type SectionKind, sectionKinds } from "./schemas.ts";

/** Largest text of a set. */
export const SET_LIMIT_BYTES = 16 * 1024 * 1024;

/** Maps of a set while it is being read. */
type DraftMaps = {
  readonly [K in keyof ObjectByKind]: Map<string, ObjectByKind[K]>;
};

/** A set while it is being read. */
interface Draft {
  readonly maps: DraftMaps;
  /** Sections by object name, also of those objects that could not be read. */
  readonly sections: Map<string, IniSection>;
  readonly problems: Problem[];
}

/** Reads and checks a set; gives every problem found, in order of lines. */
export function parseOperatorSet(
  text: string,
  options: { readonly file: string },
): Result<OperatorSet, readonly Problem[]> {
  const { file } = options;
  if (Buffer.byteLength(text) > SET_LIMIT_BYTES) {
    const message = `the set is larger than ${SET_LIMIT_BYTES} bytes`;
    return err([problem("tooLarge", { file, message })]);
  }
  const draft = readDraft(readDocument(text, file));
  const set = asSet(draft.maps);
  const problems = [...draft.problems, ...checkSet(set, draft.sections)]
    .map((found) => ({ ...found, file }))
    .sort((a, b) => a.line - b.line);
  return problems.length === 0 ? ok(set) : err(problems);
}

/** The set with nothing in it. */
export function emptySet(): OperatorSet {
  return asSet(emptyMaps());
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
  const found = kind === undefined
    ? unknownSection(section)
    : checkName(section, draft.sections);
  if (found !== undefined) draft.problems.push(found);
  if (kind === undefined || found !== undefined) return;
  draft.sections.set(objectName(section), section);
  fill(kind, section, draft);
}

function fill<K extends SectionKind>(
  kind: K,
  section: IniSection,
  draft: Draft,
): void {
  const { object, problems } = objectReaders[kind](section);
  draft.problems.push(...problems);
  if (object !== undefined) draft.maps[kind].set(section.name, object);
}

function unknownSection(section: IniSection): Problem {
  const hint = suggestion(section.kind, sectionKinds);
  return problem("unknownSection", {
    line: section.line,
    object: objectName(section),
    message: `no such kind of object${hint}`,
  });
}

function checkName(
  section: IniSection,
  sections: ReadonlyMap<string, IniSection>,
): Problem | undefined {
  const object = objectName(section);
  const { line } = section;
  if (!NAME.test(section.name)) {
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

function asSet(maps: DraftMaps): OperatorSet {
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
