/**
 * The member keys and the ownership map as last read by this instance.
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

const MemberRecordCodec = t.readonly(t.type({
  instance: InstanceCodec,
  registration: t.number,
  lease: t.string,
}));

/** Value stored under a member key. */
export type MemberRecord = t.TypeOf<typeof MemberRecordCodec>;

/** Decodes the value of a member key; `undefined` if it is malformed. */
export function decodeMemberRecord(text: string): MemberRecord | undefined {
  const json = either.tryCatch(
    () => JSON.parse(text) as unknown,
    () => undefined,
  );
  if (either.isLeft(json)) return undefined;
  const record = MemberRecordCodec.decode(json.right);
  return either.isRight(record) ? record.right : undefined;
}

/** Local view of the cluster. Calls its listeners synchronously on every change. */
export class ClusterView {
  map: OwnershipMap = emptyMap;
  /** Store revision of the map; 0 if no map was read. */
  mapRevision = 0;
  registered: ReadonlyMap<string, Instance> = new Map();
  #membersRevision = 0;
  readonly #listeners: (() => void)[] = [];

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Applies a map that was read from the store. Older revisions and malformed maps are ignored. */
  applyMap(entry: Entry | undefined): void {
    if (entry === undefined || entry.revision <= this.mapRevision) return;
    const map = decodeMap(entry.value);
    if (map.isErr()) return;
    this.map = map.value;
    this.mapRevision = entry.revision;
    this.#notifyListeners();
  }

  /** Applies a full read of the member keys at `revision`. Older revisions are ignored. */
  applyMembers(entries: readonly Entry[], revision: number): void {
    if (revision < this.#membersRevision) return;
    const registered = new Map<string, Instance>();
    for (const entry of entries) {
      const record = decodeMemberRecord(entry.value);
      if (record !== undefined) {
        registered.set(record.instance.id, record.instance);
      }
    }
    this.registered = registered;
    this.#membersRevision = revision;
    this.#notifyListeners();
  }

  /** Applies the changes reported by a watch. */
  applyChanges(changes: readonly Change[]): void {
    for (const change of changes) this.#applyChange(change);
  }

  /** Instances that accept messages: registered ones and members of the map. */
  knownInstances(): readonly Instance[] {
    const known = new Map(this.registered);
    for (const [id, member] of this.map.members) known.set(id, member.instance);
    return [...known.values()];
  }

  #applyChange(change: Change): void {
    const key = change.type === "put" ? change.entry.key : change.key;
    if (key === OWNERSHIP_KEY) {
      if (change.type === "put") this.applyMap(change.entry);
      return;
    }
    const revision = change.type === "put"
      ? change.entry.revision
      : change.revision;
    if (revision <= this.#membersRevision) return;
    this.registered = withMemberChange(this.registered, change);
    this.#notifyListeners();
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }
}

function withMemberChange(
  registered: ReadonlyMap<string, Instance>,
  change: Change,
): ReadonlyMap<string, Instance> {
  const next = new Map(registered);
  switch (change.type) {
    case "put": {
      const record = decodeMemberRecord(change.entry.value);
      if (record !== undefined) next.set(record.instance.id, record.instance);
      return next;
    }
    case "deleted":
      next.delete(change.key.slice(MEMBERS_PREFIX.length));
      return next;
  }
}
