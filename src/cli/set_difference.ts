/**
 * Compares two operator sets object by object.
 *
 * @module
 */
import { objectName, readDocument } from "../ini/document.ts";

/** An object that was added or removed, or a field that was changed. Its properties are printed. */
export interface Difference {
  readonly change: "added" | "removed" | "changed";
  /** Kind and name of the object. */
  readonly object: string;
  /** The changed field. */
  readonly field?: string;
  /** Old value; absent if the field was added. */
  readonly from?: string;
  /** New value; absent if the field was removed. */
  readonly to?: string;
}

/** Fields, by name, of each object. */
type Objects = ReadonlyMap<string, ReadonlyMap<string, string>>;

/** Lists the changes that turn the set `before` into the set `after`. */
export function compareOperatorSets(
  before: string,
  after: string,
): readonly Difference[] {
  const oldObjects = readFieldsByObject(before);
  const newObjects = readFieldsByObject(after);
  const names = new Set([...oldObjects.keys(), ...newObjects.keys()]);
  return [...names].flatMap((object) =>
    compareObject(object, { oldObjects, newObjects })
  );
}

function compareObject(
  object: string,
  sets: { readonly oldObjects: Objects; readonly newObjects: Objects },
): Difference[] {
  const before = sets.oldObjects.get(object);
  const after = sets.newObjects.get(object);
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

function readFieldsByObject(text: string): Objects {
  const { sections } = readDocument(text, "");
  return new Map(sections.map((section) => [
    objectName(section),
    new Map(section.fields.map(({ name, value }) => [name, value])),
  ]));
}
