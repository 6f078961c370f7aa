/**
 * The member key of this instance and the lease that it is tied to.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Condition, Store, Write } from "../ports/store.ts";
import { HolderLease } from "../state/lease.ts";
import type { Instance } from "../types.ts";
import {
  MEMBERS_PREFIX,
  OWNERSHIP_KEY,
  REGISTRATIONS_PREFIX,
} from "./cluster_protocol.ts";
import { type MemberRecord, readMemberRecord } from "./cluster_view.ts";
import type { Timing } from "./timing.ts";

/** What a {@linkcode Registration} works with. */
export interface RegistrationOptions {
  readonly self: Instance;
  readonly store: Store;
  readonly clock: Clock;
  readonly timing: Timing;
  /** Revision of the map as this instance knows it. */
  readonly mapRevision: () => number;
}

/** Outcome of one round. */
export type Round =
  /** The key is there and the lease has been renewed. */
  | { readonly type: "held" }
  /** Another round is needed, after reading the map. */
  | { readonly type: "again" };

/**
 * Keeps the member key. A key that has lapsed is created again only on
 * condition that this instance knows the newest map, so that a holder whose
 * units were taken cannot come back believing that it owns them.
 */
export class Registration {
  readonly lease: HolderLease;
  readonly #options: RegistrationOptions;
  readonly #key: string;
  #leaseId: string | undefined;
  #number = 0;

  constructor(options: RegistrationOptions) {
    this.#options = options;
    this.#key = MEMBERS_PREFIX + options.self.id;
    this.lease = new HolderLease(options.timing);
  }

  /** How often this instance has registered. */
  get number(): number {
    return this.#number;
  }

  /** Renews the lease, or registers if there is none. */
  async round(): Promise<Result<Round, StoreFailure>> {
    const { store, clock } = this.#options;
    if (this.#leaseId === undefined) return await this.#register();
    const sentAtMs = clock.monotonic();
    const renewed = await store.renew(this.#leaseId);
    if (renewed.isErr()) return err(renewed.error);
    if (renewed.value) {
      this.lease.renewed(sentAtMs);
      return ok({ type: "held" });
    }
    this.lease.lost();
    this.#leaseId = undefined;
    return ok({ type: "again" });
  }

  /** Ends the lease and so removes the key. */
  async end(): Promise<Result<void, StoreFailure>> {
    const id = this.#leaseId;
    this.lease.lost();
    this.#leaseId = undefined;
    if (id === undefined) return ok(undefined);
    return await this.#options.store.revoke(id);
  }

  async #register(): Promise<Result<Round, StoreFailure>> {
    const { store, clock, timing } = this.#options;
    const sentAtMs = clock.monotonic();
    const granted = await store.grant(Math.ceil(timing.leaseTtlMs / 1000));
    if (granted.isErr()) return err(granted.error);
    const lease = granted.value;
    const number = this.#number + 1;
    const commit = await store.commit(
      this.#conditions(number),
      this.#writes(number, lease),
    );
    if (commit.isErr()) return err(commit.error);
    if (commit.value.type === "conflict") return await this.#adopt();
    this.#leaseId = lease;
    this.#number = number;
    this.lease.renewed(sentAtMs);
    return ok({ type: "held" });
  }

  #conditions(number: number): readonly Condition[] {
    const absent = { key: this.#key, revision: 0 };
    if (number === 1) return [absent];
    const revision = this.#options.mapRevision();
    return [absent, { key: OWNERSHIP_KEY, revision }];
  }

  #writes(number: number, lease: string): readonly Write[] {
    const { self } = this.#options;
    const record: MemberRecord = {
      instance: self,
      registration: number,
      lease,
    };
    const put: Write = {
      type: "put",
      key: this.#key,
      value: JSON.stringify(record),
      lease,
    };
    if (number === 1) return [put];
    const key = REGISTRATIONS_PREFIX + self.id;
    return [put, { type: "put", key, value: String(number) }];
  }

  /** Takes over the lease of an earlier attempt whose answer was lost. */
  async #adopt(): Promise<Result<Round, StoreFailure>> {
    const entry = await this.#options.store.get(this.#key);
    if (entry.isErr()) return err(entry.error);
    const record = readMemberRecord(entry.value?.value ?? "");
    if (record === undefined) return ok({ type: "again" });
    this.#leaseId = record.lease;
    this.#number = record.registration;
    return ok({ type: "again" });
  }
}
