/**
 * Map of units to the instances that own them, and the pure functions that
 * compute the next map.
 *
 * @module
 */
import type { Instance } from "../types.ts";
import type { Electorate } from "./continuation.ts";

/** State of a member, which decides whether it votes and whether it may own units. */
export type MemberState =
  /** Votes and may own units. */
  | "voter"
  /** May own units; becomes a voter when every voter has it in its map. */
  | "joining"
  /** Its units were taken over. Its promises as a voter are valid until it is gone. */
  | "lost";

/** Entry of a member in the map. */
export interface Member {
  readonly instance: Instance;
  readonly standing: MemberState;
  /** Epoch at which it joined, or returned after it was lost. */
  readonly since: number;
}

/** Ownership of one unit. */
export interface UnitOwnership {
  readonly owner: string;
  /** Epoch at which the owner last changed. */
  readonly fence: number;
  /** Fence of the previous owner; 0 if there was none. */
  readonly previousFence: number;
}

/** The ownership map: one value in the store, changed only by compare-and-swap. */
export interface OwnershipMap {
  readonly epoch: number;
  readonly members: ReadonlyMap<string, Member>;
  readonly units: ReadonlyMap<string, UnitOwnership>;
}

/** The map before the first member has joined. */
export const emptyMap: OwnershipMap = {
  epoch: 0,
  members: new Map(),
  units: new Map(),
};

/** Input of a takeover: what the instance that changes the map has found out. */
export interface TakeoverFindings {
  /** Instances whose registration is in the store. */
  readonly registered: ReadonlyMap<string, Instance>;
  /** Members whose units may be taken over. */
  readonly lost: ReadonlySet<string>;
  /** Members that the platform reports as gone for good. */
  readonly gone: ReadonlySet<string>;
  /** Whether every voter has a map with every joining member of this map. */
  readonly votersKnowJoining: boolean;
  /** Units that should have an owner. */
  readonly units: readonly string[];
}

/** Kind of a unit: the part before its colon. */
export function kindOf(unit: string): string {
  return unit.slice(0, unit.indexOf(":"));
}

/** Voters and joining members of a map. */
export function electorateOf(map: OwnershipMap): Electorate {
  const members = [...map.members.values()];
  const ids = (joining: boolean) =>
    members
      .filter((member) => (member.standing === "joining") === joining)
      .map((member) => member.instance.id);
  return { voters: new Set(ids(false)), joining: new Set(ids(true)) };
}

/** Members that may own units, in order of their id. */
export function eligibleOwners(map: OwnershipMap): readonly string[] {
  return [...map.members.values()]
    .filter((member) => member.standing !== "lost")
    .map((member) => member.instance.id)
    .sort();
}

/**
 * Computes the next map from `findings`: updates the members and assigns units
 * without a live owner. Units of live owners stay. Returns the same map object
 * if nothing changes.
 */
export function assign(
  map: OwnershipMap,
  findings: TakeoverFindings,
): OwnershipMap {
  const epoch = map.epoch + 1;
  const members = nextMembers(map, findings);
  const next = { epoch, members, units: map.units };
  const units = assignUnits(next, findings.units);
  const unchanged = sameMembers(map.members, members) && units === map.units;
  return unchanged ? map : { ...next, units };
}

function nextMembers(
  map: OwnershipMap,
  findings: TakeoverFindings,
): ReadonlyMap<string, Member> {
  const epoch = map.epoch + 1;
  const members = new Map<string, Member>();
  const promote = findings.votersKnowJoining &&
    !isJoiningMemberLost(map, findings);
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

/**
 * Whether a joining member is lost. Voters have the joining members as one set,
 * so either all of them become voters or none does.
 */
function isJoiningMemberLost(
  map: OwnershipMap,
  findings: TakeoverFindings,
): boolean {
  return [...electorateOf(map).joining].some((id) =>
    findings.lost.has(id) && !findings.registered.has(id)
  );
}

interface MemberTransition {
  readonly findings: TakeoverFindings;
  readonly epoch: number;
  readonly promote: boolean;
}

function nextMember(
  member: Member,
  transition: MemberTransition,
): Member | undefined {
  const { findings, epoch, promote } = transition;
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

/** Assigns each unit without a live owner to the member with the fewest units of that kind. */
function assignUnits(
  map: OwnershipMap,
  wanted: readonly string[],
): ReadonlyMap<string, UnitOwnership> {
  const eligible = eligibleOwners(map);
  if (eligible.length === 0) return map.units;
  const alive = new Set(eligible);
  const unowned = [...new Set([...map.units.keys(), ...wanted])]
    .filter((unit) => !alive.has(map.units.get(unit)?.owner ?? ""))
    .sort();
  if (unowned.length === 0) return map.units;
  const units = new Map(map.units);
  const counts = countByKind(map.units, eligible);
  for (const unit of unowned) {
    const owner = leastLoaded(
      countsOf(counts, kindOf(unit), eligible),
      eligible,
    );
    units.set(unit, assignTo(units.get(unit), { owner, epoch: map.epoch }));
    increment(countsOf(counts, kindOf(unit), eligible), owner, 1);
  }
  return units;
}

/** Change of an owner's own units. */
export interface HandOver {
  readonly self: string;
  /** Whether the owner leaves: all its units are reassigned and its membership ends. */
  readonly leaving: boolean;
  /** Own units that no longer exist. */
  readonly retired: readonly string[];
}

/** Units that an owner has beyond its balanced count, each with the member that should get it. */
export function excessUnits(
  map: OwnershipMap,
  self: string,
): ReadonlyMap<string, string> {
  const eligible = eligibleOwners(map);
  const moves = new Map<string, string>();
  for (const [kind, counts] of countByKind(map.units, eligible)) {
    const targets = balancedCounts(counts, eligible);
    const recipients = eligible.flatMap((id) =>
      Array<string>(Math.max(0, targets.get(id)! - counts.get(id)!)).fill(id)
    );
    const surplus = Math.max(
      0,
      (counts.get(self) ?? 0) - (targets.get(self) ?? 0),
    );
    const ownUnits = ownedBy(map, self)
      .filter((unit) => kindOf(unit) === kind)
      .slice(-surplus);
    if (surplus === 0) continue;
    recipients.slice(0, surplus).forEach((id, index) =>
      moves.set(ownUnits[index]!, id)
    );
  }
  return moves;
}

/** Computes the map after an owner hands units over. Returns the same map object if nothing changes. */
export function handOver(map: OwnershipMap, change: HandOver): OwnershipMap {
  const { self, leaving, retired } = change;
  const epoch = map.epoch + 1;
  const units = new Map(map.units);
  for (const unit of retired) {
    if (units.get(unit)?.owner === self) units.delete(unit);
  }
  const members = new Map(map.members);
  if (leaving) members.delete(self);
  const next = { epoch, members, units };
  if (leaving) {
    const reassigned = assignUnits(next, []);
    return map.members.has(self) ? { ...next, units: reassigned } : map;
  }
  const moves = excessUnits(next, self);
  for (const [unit, owner] of moves) {
    units.set(unit, assignTo(units.get(unit), { owner, epoch }));
  }
  return moves.size === 0 && units.size === map.units.size ? map : next;
}

/** Ownership of a unit under its new owner. */
function assignTo(
  before: UnitOwnership | undefined,
  { owner, epoch }: { readonly owner: string; readonly epoch: number },
): UnitOwnership {
  return { owner, fence: epoch, previousFence: before?.fence ?? 0 };
}

/** Units of one owner, sorted. */
export function ownedBy(map: OwnershipMap, owner: string): readonly string[] {
  return [...map.units]
    .filter(([, ownership]) => ownership.owner === owner)
    .map(([unit]) => unit)
    .sort();
}

type Counts = Map<string, number>;

function countByKind(
  units: ReadonlyMap<string, UnitOwnership>,
  eligible: readonly string[],
): Map<string, Counts> {
  const counts = new Map<string, Counts>();
  const alive = new Set(eligible);
  for (const [unit, { owner }] of units) {
    const ofKind = countsOf(counts, kindOf(unit), eligible);
    if (alive.has(owner)) increment(ofKind, owner, 1);
  }
  return counts;
}

function countsOf(
  counts: Map<string, Counts>,
  kind: string,
  eligible: readonly string[],
): Counts {
  const known = counts.get(kind);
  if (known !== undefined) return known;
  const zeros = new Map(eligible.map((id) => [id, 0]));
  counts.set(kind, zeros);
  return zeros;
}

function increment(counts: Counts, id: string, by: number): void {
  counts.set(id, (counts.get(id) ?? 0) + by);
}

function leastLoaded(counts: Counts, eligible: readonly string[]): string {
  return eligible.reduce((best, id) =>
    counts.get(id)! < counts.get(best)! ? id : best
  );
}

/** Counts that differ by one at most; the members that already own the most get the larger ones. */
function balancedCounts(counts: Counts, eligible: readonly string[]): Counts {
  const total = eligible.reduce((sum, id) => sum + counts.get(id)!, 0);
  const evenCount = Math.floor(total / eligible.length);
  const largerCounts = total % eligible.length;
  const ranked = [...eligible].sort((a, b) =>
    counts.get(b)! - counts.get(a)! || (a < b ? -1 : 1)
  );
  return new Map(
    ranked.map((
      id,
      rank,
    ) => [id, rank < largerCounts ? evenCount + 1 : evenCount]),
  );
}
