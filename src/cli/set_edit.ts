/**
 * Edits the text of an operator set. Everything that an edit does not concern,
 * including comments and spacing, is preserved.
 *
 * @module
 */
import { objectName, readDocument } from "../ini/document.ts";

/** A field as written: `name = value`. */
export type FieldText = readonly [name: string, value: string];

/** First line of a copy; it names the base, the publication that the copy was made from. */
const BASE_LINE_PATTERN = /^; publication (\d+)\r?\n/;

/** Appends an object, after a blank line. `object`: kind and name, as in the header. */
export function addObject(
  text: string,
  object: string,
  options: { readonly fields: readonly FieldText[] },
): string {
  const separator = text === "" || text.endsWith("\n\n")
    ? ""
    : text.endsWith("\n")
    ? "\n"
    : "\n\n";
  const lines = options.fields.map(([name, value]) => `${name} = ${value}`);
  return `${text}${separator}[${object}]\n${lines.join("\n")}\n`;
}

/** Removes objects: the lines from the header to the last field, and one blank line after it. */
export function removeObjects(
  text: string,
  objects: readonly string[],
): string {
  const lines = text.split("\n");
  const removed = new Set<number>();
  for (const section of readDocument(text, "").sections) {
    if (!objects.includes(objectName(section))) continue;
    const last = section.fields.at(-1)?.line ?? section.line;
    const isBlankAfter = last < lines.length - 1 && lines[last]?.trim() === "";
    const end = isBlankAfter ? last + 1 : last;
    for (let line = section.line; line <= end; line++) removed.add(line);
  }
  return lines.filter((_, index) => !removed.has(index + 1)).join("\n");
}

/** Sets a field of an object; returns the text unchanged if there is no such object. */
export function setField(
  text: string,
  object: string,
  options: { readonly field: FieldText },
): string {
  const [name, value] = options.field;
  const { sections } = readDocument(text, "");
  const section = sections.find((candidate) =>
    objectName(candidate) === object
  );
  if (section === undefined) return text;
  const lines = text.split("\n");
  const existing = section.fields.find((field) => field.name === name);
  const line = `${name} = ${value}`;
  if (existing === undefined) lines.splice(section.line, 0, line);
  else lines[existing.line - 1] = line;
  return lines.join("\n");
}

/** Lists the objects of a kind in which a field has the given value. */
export function objectsWith(
  text: string,
  kind: string,
  options: { readonly field: FieldText },
): readonly string[] {
  const [name, value] = options.field;
  return readDocument(text, "").sections
    .filter((section) => section.kind === kind)
    .filter((section) =>
      section.fields.some((field) =>
        field.name === name && field.value === value
      )
    )
    .map(objectName);
}

/** Whether a set contains an object. */
export function hasObject(text: string, object: string): boolean {
  return readDocument(text, "").sections
    .some((section) => objectName(section) === object);
}

/** Turns a text into a valid object name: lower case, other characters replaced by `-`. */
export function toObjectName(text: string): string {
  return text.toLowerCase().replaceAll(/[^a-z0-9-]+/g, "-");
}

/** Writes the number of a copy's base into its first line, replacing an earlier one. */
export function withBase(text: string, number: number): string {
  return `; publication ${number}\n${withoutBase(text)}`;
}

/** The number of a copy's base; `undefined` if its first line does not name one. */
export function baseOf(text: string): number | undefined {
  const number = BASE_LINE_PATTERN.exec(text)?.[1];
  return number === undefined ? undefined : Number(number);
}

/** A copy without the line that names its base. */
export function withoutBase(text: string): string {
  return text.replace(BASE_LINE_PATTERN, "");
}
