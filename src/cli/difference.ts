/**
 * Compares two sets object by object.
 *
 * @module
 */
import { objectName, readDocument } from "../ini/document.ts";

/** One field, or one object, that differs. */
export interface Difference {
  readonly change: "added" | "removed" | "changed";
  readonly object: string;
  readonly field?: string;
  readonly from?: string;
  readonly to?: string;
}

type Objects = ReadonlyMap<string, ReadonlyMap<string, string>>;

/** What has to change to make one text of a set the other. */
export function compareSets(
  before: string,
  after: string,
): readonly Difference[] {
  const old = readObjects(before);
  const young = readObjects(after);
  const names = new Set([...old.keys(), ...young.keys()]);
  return [...names].flatMap((object) => compareObject(object, { old, young }));
}

function compareObject(
  object: string,
  sets: { readonly old: Objects; readonly young: Objects },
): Difference[] {
  const before = sets.old.get(object);
  const after = sets.young.get(object);
  if (before === undefined) return [{ change: "added", object }];
  if (after === undefined) return [{ change: "removed", object }];
  const fields = new Set([...before.keys(), ...after.keys()]);
  return [...fields]
    .filter((field) => before.get(field) !== after.get(field))
    .map((field) => {
      const from = before.get(field);
      const to = after.get(field);
      return { change: "changed", object, field, from, to };
    });
}

function readObjects(text: string): Objects {
  const { sections } = readDocument(text, "");
  return new Map(sections.map((section) => [
    objectName(section),
    new Map(section.fields.map(({ name, value }) => [name, value])),
  ]));
}
