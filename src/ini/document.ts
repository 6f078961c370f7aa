/**
 * Parses INI text and records the line of each section and field. The `ini`
 * package decodes headers and values, but it reports no line numbers.
 *
 * @module
 */
import { parse, unsafe } from "ini";
import { type Problem, problem } from "./problem.ts";

/** A `name = value` line. */
export interface IniField {
  readonly name: string;
  readonly value: string;
  readonly line: number;
}

/** A `[kind name]` section. `name` is empty if the header has only a kind. */
export interface IniSection {
  readonly kind: string;
  readonly name: string;
  readonly line: number;
  readonly fields: readonly IniField[];
}

/** A parsed file. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  /** Lines that are not INI, fields outside sections, and repeated fields. */
  readonly problems: readonly Problem[];
}

interface MutableSection extends IniSection {
  readonly fields: IniField[];
}

const BLANK_OR_COMMENT = /^\s*([;#].*)?$/;
const HEADER = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const FIELD = /^\s*([A-Za-z][A-Za-z0-9_]*)\s*=/;

/** Parses INI text. Skips lines that are not valid and reports them as problems. */
export function readDocument(text: string, file: string): IniDocument {
  const sections: MutableSection[] = [];
  const problems: Problem[] = [];
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    if (BLANK_OR_COMMENT.test(line)) continue;
    const lineProblem = readLine(line, index + 1, sections);
    if (lineProblem !== undefined) problems.push({ ...lineProblem, file });
  }
  return { file, sections, problems };
}

/** The object that a section declares, as written in its header: `kind name`. */
export function objectName(section: IniSection): string {
  return section.name === "" ? section.kind : `${section.kind} ${section.name}`;
}

function readLine(
  text: string,
  line: number,
  sections: MutableSection[],
): Problem | undefined {
  const header = HEADER.exec(text)?.[1];
  if (header !== undefined) {
    sections.push(startSection(header, line));
    return undefined;
  }
  const name = FIELD.exec(text)?.[1];
  if (name === undefined) {
    return problem("malformed", { line, message: "expected `name = value`" });
  }
  const section = sections.at(-1);
  if (section === undefined) {
    const message = "field before the first section";
    return problem("malformed", { line, field: name, message });
  }
  return addField(section, { name, line, value: decodeValue(text, name) });
}

function startSection(header: string, line: number): MutableSection {
  const [kind = "", ...rest] = String(unsafe(header)).trim().split(/\s+/);
  return { kind, name: rest.join(" "), line, fields: [] };
}

function decodeValue(text: string, name: string): string {
  return String(parse(text)[name] ?? "");
}

function addField(
  section: MutableSection,
  field: IniField,
): Problem | undefined {
  const earlier = section.fields.find((other) => other.name === field.name);
  if (earlier === undefined) {
    section.fields.push(field);
    return undefined;
  }
  return problem("duplicateField", {
    line: field.line,
    object: objectName(section),
    field: field.name,
    message: `already set on line ${earlier.line}`,
  });
}
