/**
 * Compact text form of the ownership map. Units are grouped by owner, fences
 * and kind, so that a unit adds little more than its name to the text.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../errors.ts";
import {
  kindOf,
  type Member,
  type OwnershipMap,
  type UnitOwnership,
} from "./ownership_map.ts";

/** The stored map could not be decoded. */
export interface MapUnreadable extends Failure {
  readonly type: "mapUnreadable";
}

const Standings = t.keyof({ voter: null, joining: null, lost: null });

/** Codec of {@linkcode Instance}. */
export const InstanceCodec = t.readonly(t.type({
  id: t.string,
  peerAddress: t.string,
  callerAddress: t.string,
  zone: t.string,
}));

const Text = t.type({
  epoch: t.number,
  members: t.array(t.type({
    instance: InstanceCodec,
    standing: Standings,
    since: t.number,
  })),
  /** Index of the owner in `members`, fence and previous fence, kind, unit names without their kind. */
  groups: t.array(
    t.tuple([
      t.number,
      t.tuple([t.number, t.number]),
      t.string,
      t.array(t.string),
    ]),
  ),
});

type Group = [number, [number, number], string, string[]];

/** Encodes a map; equal maps have equal texts. */
export function encodeMap(map: OwnershipMap): string {
  const members = [...map.members.values()]
    .sort((a, b) => (a.instance.id < b.instance.id ? -1 : 1));
  const index = new Map(members.map((each, at) => [each.instance.id, at]));
  const groups = new Map<string, Group>();
  for (const unit of [...map.units.keys()].sort()) {
    const { owner, fence, previousFence } = map.units.get(unit)!;
    const at = index.get(owner) ?? -1;
    const kind = kindOf(unit);
    const label = `${at} ${fence} ${previousFence} ${kind}`;
    const group: Group = groups.get(label) ??
      [at, [fence, previousFence], kind, []];
    group[3].push(unit.slice(kind.length + 1));
    groups.set(label, group);
  }
  const text = { epoch: map.epoch, members, groups: [...groups.values()] };
  return JSON.stringify(text);
}

/** Decodes a text written by {@linkcode encodeMap}. */
export function decodeMap(text: string): Result<OwnershipMap, MapUnreadable> {
  const decoded = either.tryCatch(() => JSON.parse(text), () => unreadable);
  if (either.isLeft(decoded)) return err(unreadable);
  const parsed = Text.decode(decoded.right);
  if (either.isLeft(parsed)) return err(unreadable);
  const { epoch, members, groups } = parsed.right;
  const units = new Map<string, UnitOwnership>();
  for (const [at, [fence, previousFence], kind, names] of groups) {
    const owner = members[at]?.instance.id ?? "";
    for (const name of names) {
      units.set(`${kind}:${name}`, { owner, fence, previousFence });
    }
  }
  const byId = new Map<string, Member>(
    members.map((member) => [member.instance.id, member]),
  );
  return ok({ epoch, members: byId, units });
}

const unreadable: MapUnreadable = {
  type: "mapUnreadable",
  message: "the ownership map in the store cannot be read",
};
