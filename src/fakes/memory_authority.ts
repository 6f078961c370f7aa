/**
 * Fakes of ownership and allowances whose state is set by tests.
 *
 * @module
 */
import type { Authority, RunPermits } from "../ports/authority.ts";
import type { UnitOwnership } from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";

/** Ownership map that all instances of a test share. */
export class MemoryOwnershipMap {
  readonly #holdings = new Map<string, UnitOwnership>();
  readonly #listeners: (() => void)[] = [];
  #fence = 0;

  /** Assigns a unit to an instance under a new fencing token, or to none. */
  assign(unit: string, owner: string | undefined): void {
    const previousFence = this.#holdings.get(unit)?.fence ?? 0;
    if (owner === undefined) this.#holdings.delete(unit);
    else {this.#holdings.set(unit, {
        owner,
        fence: ++this.#fence,
        previousFence,
      });}
    for (const listener of this.#listeners) listener();
  }

  holding(unit: string): UnitOwnership | undefined {
    return this.#holdings.get(unit);
  }

  units(): IterableIterator<string> {
    return this.#holdings.keys();
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }
}

/** Authority of one instance according to a {@linkcode MemoryOwnershipMap}. */
export class MemoryAuthority implements Authority {
  /** Whether the lease of the instance is valid. */
  isLeaseValid = true;
  readonly #self: string;
  readonly #map: MemoryOwnershipMap;

  constructor(self: string, map: MemoryOwnershipMap) {
    this.#self = self;
    this.#map = map;
  }

  hasValidLease(): boolean {
    return this.isLeaseValid;
  }

  mayDecide(unit: string): boolean {
    return this.isLeaseValid && this.#map.holding(unit)?.owner === this.#self;
  }

  owned(prefix: string): readonly string[] {
    return [...this.#map.units()].filter((unit) =>
      unit.startsWith(prefix) && this.#map.holding(unit)?.owner === this.#self
    );
  }

  ownerOf(unit: string): Instance | undefined {
    const id = this.#map.holding(unit)?.owner;
    return id === undefined
      ? undefined
      : { id, peerAddress: id, callerAddress: id, zone: "z" };
  }

  fenceOf(unit: string): number | undefined {
    return this.#map.holding(unit)?.fence;
  }

  previousFenceOf(unit: string): number | undefined {
    return this.#map.holding(unit)?.previousFence;
  }

  onChange(listener: () => void): void {
    this.#map.onChange(listener);
  }
}

/** Allowances of one instance, granted locally instead of by a home instance. */
export class MemoryAllowances implements RunPermits {
  /** Limit of each team; a team without an entry is unlimited. */
  readonly limits = new Map<string, number>();
  readonly #running = new Map<string, number>();
  /** Teams for which a larger allowance was requested, one entry for each request. */
  readonly requestedTeams: string[] = [];
  /** Simulates an exhausted allowance: {@linkcode tryAcquire} always fails. */
  exhausted = false;

  running(team: string): number {
    return this.#running.get(team) ?? 0;
  }

  tryAcquire(team: string): boolean {
    return !this.exhausted && this.#tryAdd(team);
  }

  available(team: string): number {
    if (this.exhausted) return 0;
    return (this.limits.get(team) ?? Infinity) - this.running(team);
  }

  request(team: string, _count: number): void {
    this.requestedTeams.push(team);
  }

  limitOf(team: string): number | undefined {
    return this.limits.get(team);
  }

  release(team: string): void {
    this.#running.set(team, this.running(team) - 1);
  }

  adopt(team: string, count: number): void {
    this.#running.set(team, this.running(team) + count);
  }

  #tryAdd(team: string): boolean {
    const limit = this.limits.get(team) ?? Infinity;
    if (this.running(team) >= limit) return false;
    this.#running.set(team, this.running(team) + 1);
    return true;
  }
}
