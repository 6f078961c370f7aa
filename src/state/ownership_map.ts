/**
 * The map of units to the instances that own them, and the pure functions
 * that change it.
 *
 * @module
 */
import type { Instance } from "../types.ts";
import type { Electorate } from "./continuation.ts";

/** What a member may do. */
export type Standing =
  /** Votes and owns. */
  | "voter"
  /** Owns; votes once every voter knows of it. */
  | "joining"
  /** Its units were taken; its promises as a voter stand until it is gone. */
  | "lost";

/** A member as the map has it. */
export interface Member {
  readonly instance: Instance;
  readonly standing: Standing;
  /** Epoch at which it joined, or came back after it was lost. */
  readonly since: number;
}

/** Who owns a unit. */
export interface Holding {
  readonly owner: string;
  /** Epoch at which the owner last changed. */
  readonly fence: number;
  /** Fence of the owner before; 0 if there was none. */
  readonly former: number;
}

/** The map; one value in the store, changed by compare-and-swap only. */
export interface OwnershipMap {
  readonly epoch: number;
  readonly members: ReadonlyMap<string, Member>;
  readonly units: ReadonlyMap<string, Holding>;
}

/** The map before anybody has joined. */
export const emptyMap: OwnershipMap = {
  epoch: 0,
  members: new Map(),
  units: new Map(),
};

/** What a taker has found out. */
export interface Findings {
  /** Members whose keys are in the store. */
  readonly registered: ReadonlyMap<string, Instance>;
  /** Members whose units may be taken. */
  readonly lost: ReadonlySet<string>;
  /** Members that the platform says are gone for good. */
  readonly gone: ReadonlySet<string>;
  /** Whether every voter knows of every joining member of this map. */
  readonly enrolled: boolean;
  /** Units that should have an owner. */
  readonly units: readonly string[];
}

/** Kind of a unit: the part before its colon. */
export function kindOf(unit: string): string {
  return unit.slice(0, unit.indexOf(":"));
}

/** Who votes under a map. */
export function electorateOf(map: OwnershipMap): Electorate {
  const members = [...map.members.values()];
  const ids = (joining: boolean) =>
    members
      .filter((member) => (member.standing === "joining") === joining)
      .map((member) => member.instance.id);
  return { voters: new Set(ids(false)), joining: new Set(ids(true)) };
}

/** Members that may own units, in order of their id. */
export function owners(map: OwnershipMap): readonly string[] {
  return [...map.members.values()]
    .filter((member) => member.standing !== "lost")
    .map((member) => member.instance.id)
    .sort();
}

/**
 * The map after `findings`: members come and go, units without an owner get
 * one. Units of living owners stay where they are. Gives the same map if
 * nothing changes.
 */
export function assign(map: OwnershipMap, findings: Findings): OwnershipMap {
  const epoch = map.epoch + 1;
  const members = nextMembers(map, findings);
  const next = { epoch, members, units: map.units };
  const units = assignUnits(next, findings.units);
  const same = sameMembers(map.members, members) && units === map.units;
  return same ? map : { ...next, units };
}

function nextMembers(
  map: OwnershipMap,
  findings: Findings,
): ReadonlyMap<string, Member> {
  const epoch = map.epoch + 1;
  const members = new Map<string, Member>();
  const promote = findings.enrolled && !losesJoining(map, findings);
  for (const [id, member] of map.members) {
    const next = nextMember(member, { findings, epoch, promote });
    if (next !== undefined) members.set(id, next);
  }
  const first = map.members.size === 0;
  for (const [id, instance] of findings.registered) {
    if (members.has(id)) continue;
    const standing = first ? "voter" : "joining";
    members.set(id, { instance, standing, since: epoch });
  }
  return members;
}

/** Voters know the joining members as one set; they become voters as one set or not at all. */
function losesJoining(map: OwnershipMap, findings: Findings): boolean {
  return [...electorateOf(map).joining].some((id) =>
    findings.lost.has(id) && !findings.registered.has(id)
  );
}

interface Step {
  readonly findings: Findings;
  readonly epoch: number;
  readonly promote: boolean;
}

function nextMember(member: Member, step: Step): Member | undefined {
  const { findings, epoch, promote } = step;
  const { id } = member.instance;
  const registered = findings.registered.has(id);
  if (!registered && findings.lost.has(id)) {
    if (findings.gone.has(id) || member.standing === "joining") {
      return undefined;
    }
    return { ...member, standing: "lost" };
  }
  switch (member.standing) {
    case "lost":
      if (registered) return { ...member, standing: "voter", since: epoch };
      return findings.gone.has(id) ? undefined : member;
    case "joining":
      return promote ? { ...member, standing: "voter" } : member;
    case "voter":
      return member;
  }
}

function sameMembers(
  a: ReadonlyMap<string, Member>,
  b: ReadonlyMap<string, Member>,
): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([id, member]) => b.get(id) === member);
}

/** Gives units without a living owner to the members with the fewest of their kind. */
function assignUnits(
  map: OwnershipMap,
  wanted: readonly string[],
): ReadonlyMap<string, Holding> {
  const able = owners(map);
  if (able.length === 0) return map.units;
  const alive = new Set(able);
  const orphans = [...new Set([...map.units.keys(), ...wanted])]
    .filter((unit) => !alive.has(map.units.get(unit)?.owner ?? ""))
    .sort();
  if (orphans.length === 0) return map.units;
  const units = new Map(map.units);
  const counts = countByKind(map.units, able);
  for (const unit of orphans) {
    const owner = fewest(countsOf(counts, kindOf(unit), able), able);
    units.set(unit, grant(units.get(unit), { owner, epoch: map.epoch }));
    increment(countsOf(counts, kindOf(unit), able), owner, 1);
  }
  return units;
}

/** What an owner changes about its own units. */
export interface HandOver {
  readonly self: string;
  /** Leaves: gives every unit away and ends its membership. */
  readonly leaving: boolean;
  /** Own units that no longer exist. */
  readonly retired: readonly string[];
}

/** Units that an owner has beyond its balanced part, with those that should get them. */
export function excess(
  map: OwnershipMap,
  self: string,
): ReadonlyMap<string, string> {
  const able = owners(map);
  const moves = new Map<string, string>();
  for (const [kind, counts] of countByKind(map.units, able)) {
    const targets = balancedParts(counts, able);
    const needy = able.flatMap((id) =>
      Array<string>(Math.max(0, targets.get(id)! - counts.get(id)!)).fill(id)
    );
    const spare = Math.max(
      0,
      (counts.get(self) ?? 0) - (targets.get(self) ?? 0),
    );
    const given = ownedBy(map, self)
      .filter((unit) => kindOf(unit) === kind)
      .slice(-spare);
    if (spare === 0) continue;
    needy.slice(0, spare).forEach((id, index) => moves.set(given[index]!, id));
  }
  return moves;
}

/** The map after an owner gives units away. Gives the same map if nothing changes. */
export function handOver(map: OwnershipMap, change: HandOver): OwnershipMap {
  const { self, leaving, retired } = change;
  const epoch = map.epoch + 1;
  const units = new Map(map.units);
  for (const unit of retired) {
    if (units.get(unit)?.owner === self) units.delete(unit);
  }
  const members = new Map(map.members);
  if (leaving) members.delete(self);
  const kept = { epoch, members, units };
  if (leaving) {
    const left = assignUnits(kept, []);
    return map.members.has(self) ? { ...kept, units: left } : map;
  }
  const moves = excess(kept, self);
  for (const [unit, owner] of moves) {
    units.set(unit, grant(units.get(unit), { owner, epoch }));
  }
  return moves.size === 0 && units.size === map.units.size ? map : kept;
}

/** A unit's next holding. */
function grant(
  before: Holding | undefined,
  { owner, epoch }: { readonly owner: string; readonly epoch: number },
): Holding {
  return { owner, fence: epoch, former: before?.fence ?? 0 };
}

/** Units of one owner, sorted. */
export function ownedBy(map: OwnershipMap, owner: string): readonly string[] {
  return [...map.units]
    .filter(([, holding]) => holding.owner === owner)
    .map(([unit]) => unit)
    .sort();
}

type Counts = Map<string, number>;

function countByKind(
  units: ReadonlyMap<string, Holding>,
  able: readonly string[],
): Map<string, Counts> {
  const counts = new Map<string, Counts>();
  const alive = new Set(able);
  for (const [unit, { owner }] of units) {
    const ofKind = countsOf(counts, kindOf(unit), able);
    if (alive.has(owner)) increment(ofKind, owner, 1);
  }
  return counts;
}

function countsOf(
  counts: Map<string, Counts>,
  kind: string,
  able: readonly string[],
): Counts {
  const known = counts.get(kind);
  if (known !== undefined) return known;
  const zeros = new Map(able.map((id) => [id, 0]));
  counts.set(kind, zeros);
  return zeros;
}

function increment(counts: Counts, id: string, by: number): void {
  counts.set(id, (counts.get(id) ?? 0) + by);
}

function fewest(counts: Counts, able: readonly string[]): string {
  return able.reduce((best, id) =>
    counts.get(id)! < counts.get(best)! ? id : best
  );
}

/** Parts that differ by one at most; whoever has most already keeps the larger part. */
function balancedParts(counts: Counts, able: readonly string[]): Counts {
  const total = able.reduce((sum, id) => sum + counts.get(id)!, 0);
  const part = Math.floor(total / able.length);
  const larger = total % able.length;
  const ranked = [...able].sort((a, b) =>
    counts.get(b)! - counts.get(a)! || (a < b ? -1 : 1)
  );
  return new Map(
    ranked.map((id, rank) => [id, rank < larger ? part + 1 : part]),
  );
}
