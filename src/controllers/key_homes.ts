/**
 * The homes of idempotency keys that this instance owns: follows the
 * ownership map and passes memories on to the next owners.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import {
  type KeyLimits,
  KeyMemory,
  type TeamKey,
} from "../state/key_memory.ts";
import { handOverKeysCall } from "../wire/keys.ts";
import { KeyHandovers, partsOf } from "./key_handovers.ts";

/** Buckets that keys are spread over. */
export const KEY_BUCKETS = 64;

/** Prefix of the units of ownership that are homes of idempotency keys. */
export const KEY_HOME_UNIT = "home:";

/** What the homes work with. */
export interface KeyHomesOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly limits: KeyLimits;
  /** Time that a message to another instance may take, milliseconds. */
  readonly callMs: number;
  readonly authority: Authority;
  readonly log: Log;
}

const BEGINNING_OF_TIME = 0;
/** Part of the time for a message for which a new home waits for its memory: the asker must still get the answer. */
const ARRIVAL_SHARE = 0.5;

interface Home {
  readonly memory: KeyMemory;
  readonly fence: number;
  /** Resolves once the memory of the home before has come, or is not waited for any more. */
  readonly arrival: Promise<void>;
  /** Ends the wait. */
  readonly arrived: () => void;
}

/** The homes at this instance. */
export class KeyHomes {
  readonly #options: KeyHomesOptions;
  readonly #homes = new Map<number, Home>();
  readonly #handovers = new KeyHandovers();
  readonly #leaving = new Set<Promise<void>>();

  constructor(options: KeyHomesOptions) {
    this.#options = options;
    const { authority, peers } = options;
    authority.onChange(() => this.follow());
    peers.onDisconnect((peer) => this.#abandon(peer));
    peers.serve(handOverKeysCall, (part) => {
      const taken = this.#handovers.take(part);
      if (taken && part.last) this.#takeUp(part.bucket);
      return { taken };
    });
    this.follow();
  }

  /** Keys remembered. */
  get size(): number {
    const sizes = [...this.#homes.values()].map(({ memory }) => memory.size);
    return sizes.reduce((sum, size) => sum + size, 0);
  }

  /** The memory for a key, if this instance may decide for its home right now. */
  memoryOf(key: TeamKey): KeyMemory | undefined {
    const bucket = bucketOf(key);
    const home = this.#homes.get(bucket);
    const { authority } = this.#options;
    const unit = unitOf(bucket);
    if (home?.fence !== authority.fenceOf(unit)) return undefined;
    return authority.mayDecide(unit) ? home?.memory : undefined;
  }

  /** Resolves once the memory of a key's home is as complete as it will be. */
  arrivalFor(key: TeamKey): Promise<void> {
    return this.#homes.get(bucketOf(key))?.arrival ?? Promise.resolve();
  }

  /** Resolves once the memories that were passed on have arrived or were refused. */
  async handedOver(): Promise<void> {
    await Promise.all(this.#leaving);
  }

  /** The instance that is the home of a key. */
  ownerOf(key: TeamKey): string | undefined {
    return this.#options.authority.ownerOf(unitOf(bucketOf(key)))?.id;
  }

  /** Looks at the ownership map again. */
  follow(): void {
    for (let bucket = 0; bucket < KEY_BUCKETS; bucket++) this.#follow(bucket);
  }

  #follow(bucket: number): void {
    const { authority, self } = this.#options;
    const owner = authority.ownerOf(unitOf(bucket))?.id;
    const fence = authority.fenceOf(unitOf(bucket));
    if (owner === undefined || fence === undefined) return;
    const home = this.#homes.get(bucket);
    if (owner === self && home?.fence === fence) return;
    if (home !== undefined) this.#release(bucket, { home, owner, fence });
    if (owner === self) this.#adopt(bucket, fence);
  }

  #adopt(bucket: number, fence: number): void {
    const { authority, callMs, clock, limits } = this.#options;
    const isFirst = authority.previousFenceOf(unitOf(bucket)) === 0;
    const completeSince = isFirst ? BEGINNING_OF_TIME : clock.now().getTime();
    const nothing = { completeSince, forgottenUpTo: 0, rows: [] };
    const memory = new KeyMemory(limits, nothing);
    let arrived = () => {};
    const arrival = new Promise<void>((resolve) => arrived = resolve);
    this.#homes.set(bucket, { memory, fence, arrival, arrived });
    if (isFirst) arrived();
    else void sleep(clock, ARRIVAL_SHARE * callMs).then(arrived);
    this.#takeUp(bucket);
  }

  /** Passes the memory on, if no other instance can have been the home in between. */
  #release(
    bucket: number,
    next: {
      readonly home: Home;
      readonly owner: string;
      readonly fence: number;
    },
  ): void {
    this.#homes.delete(bucket);
    const { home, owner, fence } = next;
    const { authority, self } = this.#options;
    const former = authority.previousFenceOf(unitOf(bucket));
    if (former === home.fence && owner !== self) {
      const passing = this.#handOver(home.memory, { bucket, owner, fence })
        .finally(() => this.#leaving.delete(passing));
      this.#leaving.add(passing);
    }
  }

  async #handOver(
    memory: KeyMemory,
    to: {
      readonly bucket: number;
      readonly owner: string;
      readonly fence: number;
    },
  ): Promise<void> {
    const { callMs, log, peers } = this.#options;
    const { bucket, fence, owner } = to;
    for (const params of partsOf(memory.export(), { bucket, fence })) {
      const options = { params, timeoutMs: callMs };
      const result = await peers.call(owner, handOverKeysCall, options);
      if (result.isOk() && result.value.taken) continue;
      const reason = result.isErr() ? result.error.message : "refused";
      log.warn("keys.lost", { home: bucket, to: owner, fence, reason });
      return;
    }
  }

  #takeUp(bucket: number): void {
    const home = this.#homes.get(bucket);
    if (home === undefined) return;
    const memory = this.#handovers.collect(bucket, home.fence);
    if (memory === undefined) return;
    home.memory.merge(memory);
    home.arrived();
  }

  #abandon(peer: string): void {
    const now = this.#options.clock.now().getTime();
    for (const { memory } of this.#homes.values()) memory.abandon(peer, now);
  }
}

/** The bucket whose owner is the home of a key. */
export function bucketOf({ team, key }: TeamKey): number {
  const digest = createHash("sha256").update(JSON.stringify([team, key]));
  return digest.digest().readUInt32BE(0) % KEY_BUCKETS;
}

function unitOf(bucket: number): string {
  return KEY_HOME_UNIT + bucket;
}
