/**
 * Edits of the operators' set as text; everything else in it stays as written.
 *
 * @module
 */
import { objectName, readDocument } from "../ini/document.ts";

/** A field to write. */
export type FieldText = readonly [name: string, value: string];

/** The first line by which a copy names the publication it was made from. */
const BASE_LINE = /^; publication (\d+)\r?\n/;

/** Adds an object at the end. */
export function addObject(
  text: string,
  object: string,
  options: { readonly fields: readonly FieldText[] },
): string {
  const gap = text === "" || text.endsWith("\n\n")
    ? ""
    : text.endsWith("\n")
    ? "\n"
    : "\n\n";
  const lines = options.fields.map(([name, value]) => `${name} = ${value}`);
  return `${text}${gap}[${object}]\n${lines.join("\n")}\n`;
}

/** Removes objects, from the header to the last field and a blank line after it. */
export function removeObjects(
  text: string,
  objects: readonly string[],
): string {
  const lines = text.split("\n");
  const removed = new Set<number>();
  for (const section of readDocument(text, "").sections) {
    if (!objects.includes(objectName(section))) continue;
    const last = section.fields.at(-1)?.line ?? section.line;
    const isGap = last < lines.length - 1 && lines[last]?.trim() === "";
    const end = isGap ? last + 1 : last;
    for (let line = section.line; line <= end; line++) removed.add(line);
  }
  return lines.filter((_, index) => !removed.has(index + 1)).join("\n");
}

/** Sets a field of an object that is there. */
export function setField(
  text: string,
  object: string,
  options: { readonly field: FieldText },
): string {
  const [name, value] = options.field;
  const { sections } = readDocument(text, "");
  const section = sections.find((other) => objectName(other) === object);
  if (section === undefined) return text;
  const lines = text.split("\n");
  const written = section.fields.find((field) => field.name === name);
  const line = `${name} = ${value}`;
  if (written === undefined) lines.splice(section.line, 0, line);
  else lines[written.line - 1] = line;
  return lines.join("\n");
}

/** Names of the objects of a kind that have a field of a value. */
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

/** Whether a set has an object. */
export function hasObject(text: string, object: string): boolean {
  return readDocument(text, "").sections
    .some((section) => objectName(section) === object);
}

/** A name of an object made from other text. */
export function asName(text: string): string {
  return text.toLowerCase().replaceAll(/[^a-z0-9-]+/g, "-");
}

/** Writes the publication that a copy was made from into its first line. */
export function withBase(text: string, number: number): string {
  return `; publication ${number}\n${withoutBase(text)}`;
}

/** The publication that a copy was made from; `undefined` if it does not say. */
export function baseOf(text: string): number | undefined {
  const number = BASE_LINE.exec(text)?.[1];
  return number === undefined ? undefined : Number(number);
}

/** A copy without the line that names its publication. */
export function withoutBase(text: string): string {
  return text.replace(BASE_LINE, "");
}
