/**
 * The homes of idempotency keys that this instance owns: follows the ownership
 * map and hands key tables over to the next owners.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import { type KeyLimits, KeyTable, type TeamKey } from "../state/key_table.ts";
import { handOverKeysCall } from "../wire/keys.ts";
import { KeyHandovers, splitIntoParts } from "./key_handovers.ts";

/** Number of buckets over which keys are distributed. */
export const KEY_BUCKETS = 64;

/** Prefix of the ownership units that are homes of idempotency keys. */
export const KEY_HOME_UNIT_PREFIX = "home:";

/** Dependencies of {@linkcode KeyHomes}. */
export interface KeyHomesOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly limits: KeyLimits;
  /** Timeout of calls to another instance, milliseconds. */
  readonly callTimeoutMs: number;
  readonly authority: Authority;
  readonly log: Log;
}

const UNIX_EPOCH_MS = 0;
/**
 * Fraction of the call timeout for which a new home waits for the key table of
 * the previous one: the response must still reach the caller in time.
 */
const HANDOVER_WAIT_FRACTION = 0.5;

interface Home {
  readonly table: KeyTable;
  readonly fence: number;
  /**
   * Resolves when the key table of the previous home has arrived or the wait
   * for it has ended.
   */
  readonly handoverDone: Promise<void>;
  /** Ends the wait. */
  readonly endWait: () => void;
}

/** The key homes at this instance. */
export class KeyHomes {
  readonly #options: KeyHomesOptions;
  readonly #homes = new Map<number, Home>();
  readonly #incomingHandovers = new KeyHandovers();
  readonly #outgoingHandovers = new Set<Promise<void>>();

  constructor(options: KeyHomesOptions) {
    this.#options = options;
    const { authority, peers } = options;
    authority.onChange(() => this.refresh());
    peers.onDisconnect((peer) => this.#handlePeerLoss(peer));
    peers.serve(handOverKeysCall, (part) => {
      const taken = this.#incomingHandovers.receive(part);
      if (taken && part.last) this.#mergeHandover(part.bucket);
      return { taken };
    });
    this.refresh();
  }

  /** Number of keys recorded. */
  get size(): number {
    const sizes = [...this.#homes.values()].map(({ table }) => table.size);
    return sizes.reduce((sum, size) => sum + size, 0);
  }

  /**
   * The key table for a key; `undefined` unless this instance may decide for
   * the key's home now.
   */
  tableOf(key: TeamKey): KeyTable | undefined {
    const bucket = bucketOf(key);
    const home = this.#homes.get(bucket);
    const { authority } = this.#options;
    const unit = unitOf(bucket);
    if (home?.fence !== authority.fenceOf(unit)) return undefined;
    return authority.mayDecide(unit) ? home?.table : undefined;
  }

  /** Resolves once the table of a key's home is as complete as it can be. */
  handoverDoneFor(key: TeamKey): Promise<void> {
    return this.#homes.get(bucketOf(key))?.handoverDone ?? Promise.resolve();
  }

  /**
   * Resolves once all key tables being handed over have arrived or were
   * rejected.
   */
  async handoversCompleted(): Promise<void> {
    await Promise.all(this.#outgoingHandovers);
  }

  /** Id of the instance that is the home of a key. */
  ownerOf(key: TeamKey): string | undefined {
    return this.#options.authority.ownerOf(unitOf(bucketOf(key)))?.id;
  }

  /** Re-evaluates the ownership map. */
  refresh(): void {
    for (let bucket = 0; bucket < KEY_BUCKETS; bucket++) this.#update(bucket);
  }

  #update(bucket: number): void {
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
    const { authority, callTimeoutMs, clock, limits } = this.#options;
    const isFirst = authority.previousFenceOf(unitOf(bucket)) === 0;
    const completeSince = isFirst ? UNIX_EPOCH_MS : clock.now().getTime();
    const emptyTable = { completeSince, forgottenUpTo: 0, rows: [] };
    const table = new KeyTable(limits, emptyTable);
    let endWait = () => {};
    const handoverDone = new Promise<void>((resolve) => endWait = resolve);
    this.#homes.set(bucket, {
      table,
      fence,
      handoverDone,
      endWait,
    });
    if (isFirst) endWait();
    else {
      void sleep(clock, HANDOVER_WAIT_FRACTION * callTimeoutMs).then(endWait);
    }
    this.#mergeHandover(bucket);
  }

  /**
   * Hands the key table over, provided that no other instance can have been the
   * home in between.
   */
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
      const handover = this.#handOver(home.table, { bucket, owner, fence })
        .finally(() => this.#outgoingHandovers.delete(handover));
      this.#outgoingHandovers.add(handover);
    }
  }

  async #handOver(
    table: KeyTable,
    to: {
      readonly bucket: number;
      readonly owner: string;
      readonly fence: number;
    },
  ): Promise<void> {
    const { callTimeoutMs, log, peers } = this.#options;
    const { bucket, fence, owner } = to;
    for (const params of splitIntoParts(table.export(), { bucket, fence })) {
      const options = { params, timeoutMs: callTimeoutMs };
      const result = await peers.call(owner, handOverKeysCall, options);
      if (result.isOk() && result.value.taken) continue;
      const reason = result.isErr() ? result.error.message : "refused";
      log.warn("keys.lost", { home: bucket, to: owner, fence, reason });
      return;
    }
  }

  #mergeHandover(bucket: number): void {
    const home = this.#homes.get(bucket);
    if (home === undefined) return;
    const table = this.#incomingHandovers.collect(bucket, home.fence);
    if (table === undefined) return;
    home.table.merge(table);
    home.endWait();
  }

  #handlePeerLoss(peer: string): void {
    const now = this.#options.clock.now().getTime();
    for (const { table } of this.#homes.values()) {
      table.abandon(peer, now);
    }
  }
}

/** The bucket of a key. The bucket's owner is the key's home. */
export function bucketOf({ team, key }: TeamKey): number {
  const digest = createHash("sha256").update(JSON.stringify([team, key]));
  return digest.digest().readUInt32BE(0) % KEY_BUCKETS;
}

function unitOf(bucket: number): string {
  return KEY_HOME_UNIT_PREFIX + bucket;
}
