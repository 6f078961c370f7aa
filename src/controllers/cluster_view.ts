/**
 * The member keys and the ownership map as this instance last read them.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import type { Change, Entry } from "../ports/store.ts";
import { decodeMap, InstanceCodec } from "../state/ownership_codec.ts";
import { emptyMap, type OwnershipMap } from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";
import { MEMBERS_PREFIX, OWNERSHIP_KEY } from "./cluster_protocol.ts";

const RecordCodec = t.readonly(t.type({
  instance: InstanceCodec,
  registration: t.number,
  lease: t.string,
}));

/** Value of a member key. */
export type MemberRecord = t.TypeOf<typeof RecordCodec>;

/** Reads the value of a member key; `undefined` if it cannot be read. */
export function readMemberRecord(text: string): MemberRecord | undefined {
  const json = either.tryCatch(
    () => JSON.parse(text) as unknown,
    () => undefined,
  );
  if (either.isLeft(json)) return undefined;
  const record = RecordCodec.decode(json.right);
  return either.isRight(record) ? record.right : undefined;
}

/** What is known of the cluster; tells its listeners of every change at once. */
export class ClusterView {
  map: OwnershipMap = emptyMap;
  /** Revision at which the map was written; 0 if there is none. */
  mapRevision = 0;
  registered: ReadonlyMap<string, Instance> = new Map();
  #membersRevision = 0;
  readonly #listeners: (() => void)[] = [];

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes a reading of the map; older ones are ignored. */
  readMap(entry: Entry | undefined): void {
    if (entry === undefined || entry.revision <= this.mapRevision) return;
    const map = decodeMap(entry.value);
    if (map.isErr()) return;
    this.map = map.value;
    this.mapRevision = entry.revision;
    this.#changed();
  }

  /** Takes a reading of all member keys. */
  readMembers(entries: readonly Entry[], revision: number): void {
    if (revision < this.#membersRevision) return;
    const registered = new Map<string, Instance>();
    for (const entry of entries) {
      const record = readMemberRecord(entry.value);
      if (record !== undefined) {
        registered.set(record.instance.id, record.instance);
      }
    }
    this.registered = registered;
    this.#membersRevision = revision;
    this.#changed();
  }

  /** Takes what a watch has seen. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) this.#applyOne(change);
  }

  /** Instances that may be talked to: registered ones and members of the map. */
  known(): readonly Instance[] {
    const known = new Map(this.registered);
    for (const [id, member] of this.map.members) known.set(id, member.instance);
    return [...known.values()];
  }

  #applyOne(change: Change): void {
    const key = change.type === "put" ? change.entry.key : change.key;
    if (key === OWNERSHIP_KEY) {
      if (change.type === "put") this.readMap(change.entry);
      return;
    }
    const revision = change.type === "put"
      ? change.entry.revision
      : change.revision;
    if (revision <= this.#membersRevision) return;
    this.registered = withChange(this.registered, change);
    this.#changed();
  }

  #changed(): void {
    for (const listener of this.#listeners) listener();
  }
}

function withChange(
  registered: ReadonlyMap<string, Instance>,
  change: Change,
): ReadonlyMap<string, Instance> {
  const next = new Map(registered);
  switch (change.type) {
    case "put": {
      const record = readMemberRecord(change.entry.value);
      if (record !== undefined) next.set(record.instance.id, record.instance);
      return next;
    }
    case "deleted":
      next.delete(change.key.slice(MEMBERS_PREFIX.length));
      return next;
  }
}
