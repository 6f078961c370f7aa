/**
 * INI text with the lines that its parts stand on. Values are decoded by the
 * `ini` package; the lines are kept here because the package drops them.
 *
 * @module
 */
import { parse, unsafe } from "ini";
import { type Problem, problem } from "./problem.ts";

/** One `name = value` line. */
export interface IniField {
  readonly name: string;
  readonly value: string;
  readonly line: number;
}

/** One `[kind name]` section; the name is empty where a header has none. */
export interface IniSection {
  readonly kind: string;
  readonly name: string;
  readonly line: number;
  readonly fields: readonly IniField[];
}

/** A whole file. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly Problem[];
}

interface OpenSection extends IniSection {
  readonly fields: IniField[];
}

const BLANK_OR_COMMENT = /^\s*([;#].*)?$/;
const HEADER = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const FIELD = /^\s*([A-Za-z][A-Za-z0-9_]*)\s*=/;

/** Reads INI text; lines that are no INI become problems. */
export function readDocument(text: string, file: string): IniDocument {
  const sections: OpenSection[] = [];
  const problems: Problem[] = [];
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    if (BLANK_OR_COMMENT.test(line)) continue;
    const found = readLine(line, index + 1, sections);
    if (found !== undefined) problems.push({ ...found, file });
  }
  return { file, sections, problems };
}

/** The object that a section declares, as operators write it. */
export function objectName(section: IniSection): string {
  return section.name === "" ? section.kind : `${section.kind} ${section.name}`;
}

function readLine(
  text: string,
  line: number,
  sections: OpenSection[],
): Problem | undefined {
  const header = HEADER.exec(text)?.[1];
  if (header !== undefined) {
    sections.push(openSection(header, line));
    return undefined;
  }
  const name = FIELD.exec(text)?.[1];
  if (name === undefined) {
    return problem("malformed", { line, message: "expected `name = value`" });
  }
  const section = sections.at(-1);
  if (section === undefined) {
    const message = "field stands before the first section";
    return problem("malformed", { line, field: name, message });
  }
  return addField(section, { name, line, value: decodeValue(text, name) });
}

function openSection(header: string, line: number): OpenSection {
  const [kind = "", ...rest] = String(unsafe(header)).trim().split(/\s+/);
  return { kind, name: rest.join(" "), line, fields: [] };
}

function decodeValue(text: string, name: string): string {
  return String(parse(text)[name] ?? "");
}

function addField(section: OpenSection, field: IniField): Problem | undefined {
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
