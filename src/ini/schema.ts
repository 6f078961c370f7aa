/**
 * Schemas of INI sections: the fields with their units, defaults and help texts.
 * A schema is used to read sections, to report problems in them, and to generate
 * their docs.
 *
 * @module
 */
import { type IniField, type IniSection, objectName } from "./document.ts";
import { suggestion } from "./nearest.ts";
import { type Problem, problem } from "./problem.ts";
import type { Unit } from "./units.ts";

/** Definition of a field. */
export interface Field<T> {
  readonly unit: Unit<T>;
  /** Default value, as it would be written in a file. A field without a default is required. */
  readonly fallback?: string;
  /** One line of docs. */
  readonly help: string;
}

/** Definitions of the fields of a section, by field name. */
export type Schema = Readonly<Record<string, Field<unknown>>>;

/** Parsed values of a section, by field name. */
export type Values<S extends Schema> = {
  readonly [K in keyof S]: S[K] extends Field<infer T> ? T : never;
};

/** Result of reading a section. `values` is absent if there are problems. */
export interface SectionResult<S extends Schema> {
  readonly values?: Values<S>;
  readonly problems: readonly Problem[];
}

/** Reads a section by its schema and reports all its problems. */
export function readSection<S extends Schema>(
  section: IniSection,
  schema: S,
): SectionResult<S> {
  const problems = unknownFields(section, schema);
  const values: Record<string, unknown> = {};
  for (const [name, field] of Object.entries(schema)) {
    const iniField = section.fields.find((other) => other.name === name);
    const fieldProblem = readField(name, {
      field,
      iniField,
      section,
      values,
    });
    if (fieldProblem !== undefined) problems.push(fieldProblem);
  }
  return problems.length === 0
    ? { values: values as Values<S>, problems }
    : { problems };
}

/** Lines of a Markdown table that documents a schema. */
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

interface FieldInput {
  readonly field: Field<unknown>;
  readonly iniField: IniField | undefined;
  readonly section: IniSection;
  readonly values: Record<string, unknown>;
}

/** Reads one field into `input.values`; returns the problem if it has one. */
function readField(name: string, input: FieldInput): Problem | undefined {
  const { field, iniField, section, values } = input;
  const line = iniField?.line ?? section.line;
  const object = objectName(section);
  const text = iniField?.value ?? field.fallback;
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
