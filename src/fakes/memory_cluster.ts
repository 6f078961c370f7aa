/**
 * Test cluster for membership, ownership and limits: members on one clock,
 * with fault injection and a check that no unit ever has two active owners.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { ManualClock } from "../clock.ts";
import { Limits } from "../controllers/limits.ts";
import { Membership } from "../controllers/membership.ts";
import { Ownership } from "../controllers/ownership.ts";
import { defaultTiming, type Timing } from "../controllers/timing.ts";
import type { Instance } from "../types.ts";
import { MemoryList } from "./memory_list.ts";
import { MemoryNetwork } from "./memory_peers.ts";
import { MemoryService, MemoryStore } from "./memory_store.ts";
import { PausedClock } from "./paused_clock.ts";

/** One member with its controllers and dependencies. */
export interface ClusterNode {
  readonly instance: Instance;
  readonly clock: PausedClock;
  readonly store: MemoryStore;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly limits: Limits;
}

/** Options of a {@linkcode MemoryCluster}. */
export interface MemoryClusterOptions {
  /** Units that should have an owner. */
  readonly units?: readonly string[];
  /** Limits by team. */
  readonly limits?: ReadonlyMap<string, number>;
  /** Seed of the random numbers. */
  readonly seed?: number;
  readonly timing?: Partial<Timing>;
}

/** Members, their store and their network. */
export class MemoryCluster {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  readonly network = new MemoryNetwork(this.clock);
  readonly list = new MemoryList();
  readonly nodes = new Map<string, ClusterNode>();
  readonly random: () => number;
  units: readonly string[];
  limits: ReadonlyMap<string, number>;
  /** Largest number of members that were allowed to decide for the same unit at the same time. */
  maxDeciders = 0;
  readonly #timing: Timing;

  constructor(options: MemoryClusterOptions = {}) {
    const generator = xoroshiro128plus(options.seed ?? 1);
    this.random = () => uniformFloat64(generator);
    this.units = options.units ?? [];
    this.limits = options.limits ?? new Map();
    this.#timing = { ...defaultTiming, ...options.timing };
  }

  /** Starts members. */
  start(...ids: readonly string[]): void {
    for (const id of ids) this.#startOne(id);
  }

  node(id: string): ClusterNode {
    return this.nodes.get(id)!;
  }

  /** Terminates a member like `kill -9`; it disappears from the list immediately. */
  kill(id: string): void {
    this.crash(id);
    const { peerAddress } = this.#createInstance(id);
    this.list.instances = this.list.instances
      .filter((listed) => listed.peerAddress !== peerAddress);
  }

  /** Terminates a member; it stays in the list. */
  crash(id: string): void {
    const node = this.node(id);
    node.store.cut();
    node.limits.stop();
    node.ownership.stop();
    node.membership.stop();
    this.network.crash(id);
    this.nodes.delete(id);
  }

  /** Pauses a member like `SIGSTOP`. */
  pause(id: string): void {
    const node = this.node(id);
    node.clock.pause();
    node.store.pause();
    this.isolate(id);
  }

  /** Undoes {@linkcode pause}. */
  resume(id: string): void {
    const node = this.node(id);
    for (const other of this.nodes.keys()) this.network.heal(id, other);
    node.clock.resume();
    node.store.resume();
  }

  /** Cuts the network between a member and all others. */
  isolate(id: string): void {
    for (const other of this.nodes.keys()) {
      if (other !== id) this.network.cut(id, other);
    }
  }

  /** Makes the store unreachable for members, by default for all. */
  cutStore(ids: Iterable<string> = this.nodes.keys()): void {
    for (const id of ids) this.node(id).store.cut();
  }

  /** Undoes {@linkcode cutStore}. */
  healStore(ids: Iterable<string> = this.nodes.keys()): void {
    for (const id of ids) this.node(id).store.heal();
  }

  /** Members that may decide for a unit now. */
  deciders(unit: string): readonly string[] {
    return [...this.nodes]
      .filter(([, node]) => node.ownership.mayDecide(unit))
      .map(([id]) => id);
  }

  /** Units for which no member may decide. */
  unserved(): readonly string[] {
    return this.units.filter((unit) => this.deciders(unit).length === 0);
  }

  /** Advances the clock; updates {@linkcode maxDeciders} after each step. */
  async run(milliseconds: number, stepMs = 10): Promise<void> {
    for (
      let remainingMs = milliseconds;
      remainingMs > 0;
      remainingMs -= stepMs
    ) {
      await this.clock.run(Math.min(stepMs, remainingMs), stepMs);
      this.#countDeciders();
    }
  }

  #countDeciders(): void {
    const deciding = new Map<string, number>();
    for (const node of this.nodes.values()) {
      if (!node.membership.mayDecide()) continue;
      for (const unit of node.ownership.owned("")) {
        const count = (deciding.get(unit) ?? 0) + 1;
        deciding.set(unit, count);
        this.maxDeciders = Math.max(this.maxDeciders, count);
      }
    }
  }

  #createInstance(id: string): Instance {
    const peerAddress = `10.0.0.${id}:7000`;
    const callerAddress = `10.0.0.${id}:8000`;
    return { id, peerAddress, callerAddress, zone: "z" };
  }

  #startOne(id: string): void {
    const instance = this.#createInstance(id);
    const clock = new PausedClock(this.clock);
    const store = new MemoryStore(this.service);
    const peers = this.network.join(id);
    const { random, list } = this;
    const shared = { self: instance, store, list, peers, clock, random };
    const membership = new Membership({ ...shared, timing: this.#timing });
    const ownership = new Ownership({ ...shared, membership });
    const limits = new Limits({ ...shared, membership, ownership });
    this.nodes.set(id, {
      instance,
      clock,
      store,
      membership,
      ownership,
      limits,
    });
    const { peerAddress } = instance;
    this.list.instances = [
      ...this.list.instances.filter((each) => each.peerAddress !== peerAddress),
      { peerAddress, presence: "live" },
    ];
    ownership.setUnits(this.units);
    limits.setLimits(this.limits);
    membership.start();
    ownership.start();
    limits.start();
  }
}
