/**
 * Schemas of INI sections: each field with its unit, default and help. The
 * same schema reads sections, finds their problems and writes their docs.
 *
 * @module
 */
import { type IniField, type IniSection, objectName } from "./document.ts";
import { suggestion } from "./nearest.ts";
import { type Problem, problem } from "./problem.ts";
import type { Unit } from "./units.ts";

/** A field of a section. */
export interface Field<T> {
  readonly unit: Unit<T>;
  /** As written in a file; a field without one must be set. */
  readonly fallback?: string;
  /** One line of docs. */
  readonly help: string;
}

/** The fields of a section by name. */
export type Schema = Readonly<Record<string, Field<unknown>>>;

/** The values that a schema gives. */
export type Values<S extends Schema> = {
  readonly [K in keyof S]: S[K] extends Field<infer T> ? T : never;
};

/** What came of reading a section: no values if anything is wrong with it. */
export interface Reading<S extends Schema> {
  readonly values?: Values<S>;
  readonly problems: readonly Problem[];
}

/** Reads a section by its schema and reports all that is wrong with it. */
export function readSection<S extends Schema>(
  section: IniSection,
  schema: S,
): Reading<S> {
  const problems = unknownFields(section, schema);
  const values: Record<string, unknown> = {};
  for (const [name, field] of Object.entries(schema)) {
    const written = section.fields.find((other) => other.name === name);
    const found = readField(name, { field, written, section, values });
    if (found !== undefined) problems.push(found);
  }
  return problems.length === 0
    ? { values: values as Values<S>, problems }
    : { problems };
}

/** The docs of a schema as rows of a Markdown table. */
export function documentSchema(schema: Schema): readonly string[] {
  return [
    "| Field | Value | Default | Meaning |",
    "| --- | --- | --- | --- |",
    ...Object.entries(schema).map(([name, field]) =>
      `| \`${name}\` | ${field.unit.name} | ${
        describeDefault(field)
      } | ${field.help} |`
    ),
  ];
}

function unknownFields(section: IniSection, schema: Schema): Problem[] {
  const known = Object.keys(schema);
  return section.fields
    .filter((field) => !Object.hasOwn(schema, field.name))
    .map((field) =>
      problem("unknownField", {
        line: field.line,
        object: objectName(section),
        field: field.name,
        message: `no such field${suggestion(field.name, known)}`,
      })
    );
}

interface Target {
  readonly field: Field<unknown>;
  readonly written: IniField | undefined;
  readonly section: IniSection;
  readonly values: Record<string, unknown>;
}

function readField(name: string, target: Target): Problem | undefined {
  const { field, written, section, values } = target;
  const line = written?.line ?? section.line;
  const object = objectName(section);
  const text = written?.value ?? field.fallback;
  if (text === undefined) {
    const message = `must be set: ${field.unit.name}`;
    return problem("missingField", { line, object, field: name, message });
  }
  return field.unit.parse(text).match(
    (value) => {
      values[name] = value;
      return undefined;
    },
    ({ message }) =>
      problem("badValue", { line, object, field: name, message }),
  );
}

function describeDefault(field: Field<unknown>): string {
  if (field.fallback === undefined) return "required";
  return field.fallback === "" ? "empty" : `\`${field.fallback}\``;
}
