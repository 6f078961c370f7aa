/**
 * The member key of this instance and the lease to which the key is bound.
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
import { decodeMemberRecord, type MemberRecord } from "./cluster_view.ts";
import type { Timing } from "./timing.ts";

/** Dependencies of a {@linkcode Registration}. */
export interface RegistrationOptions {
  readonly self: Instance;
  readonly store: Store;
  readonly clock: Clock;
  readonly timing: Timing;
  /** Revision of the ownership map that this instance has read last. */
  readonly mapRevision: () => number;
}

/** Outcome of one attempt to renew the lease or to register. */
export type RegistrationOutcome =
  /** The member key exists and its lease was granted or renewed. */
  | { readonly type: "held" }
  /** Another attempt is needed, after reading the map. */
  | { readonly type: "again" };

/**
 * Maintains the member key. A key that has expired is created again only if
 * this instance has read the latest map, so that an instance whose units were
 * taken over cannot register again while it still assumes that it owns them.
 */
export class Registration {
  readonly lease: HolderLease;
  readonly #options: RegistrationOptions;
  readonly #key: string;
  #leaseId: string | undefined;
  #count = 0;

  constructor(options: RegistrationOptions) {
    this.#options = options;
    this.#key = MEMBERS_PREFIX + options.self.id;
    this.lease = new HolderLease(options.timing);
  }

  /** Number of times that this instance has registered. */
  get count(): number {
    return this.#count;
  }

  /** Renews the lease, or registers if there is no lease. */
  async renewOrRegister(): Promise<Result<RegistrationOutcome, StoreFailure>> {
    const { store, clock } = this.#options;
    if (this.#leaseId === undefined) return await this.#register();
    const sentAtMs = clock.monotonic();
    const renewed = await store.renew(this.#leaseId);
    if (renewed.isErr()) return err(renewed.error);
    if (renewed.value) {
      this.lease.recordRenewal(sentAtMs);
      return ok({ type: "held" });
    }
    this.lease.recordLoss();
    this.#leaseId = undefined;
    return ok({ type: "again" });
  }

  /** Revokes the lease, which deletes the member key. */
  async revoke(): Promise<Result<void, StoreFailure>> {
    const leaseId = this.#leaseId;
    this.lease.recordLoss();
    this.#leaseId = undefined;
    if (leaseId === undefined) return ok(undefined);
    return await this.#options.store.revoke(leaseId);
  }

  async #register(): Promise<Result<RegistrationOutcome, StoreFailure>> {
    const { store, clock, timing } = this.#options;
    const sentAtMs = clock.monotonic();
    const granted = await store.grant(Math.ceil(timing.leaseTtlMs / 1000));
    if (granted.isErr()) return err(granted.error);
    const leaseId = granted.value;
    const count = this.#count + 1;
    const commit = await store.commit(
      this.#conditions(count),
      this.#writes(count, leaseId),
    );
    if (commit.isErr()) return err(commit.error);
    if (commit.value.type === "conflict") return await this.#adoptLease();
    this.#leaseId = leaseId;
    this.#count = count;
    this.lease.recordRenewal(sentAtMs);
    return ok({ type: "held" });
  }

  #conditions(count: number): readonly Condition[] {
    const absent = { key: this.#key, revision: 0 };
    if (count === 1) return [absent];
    const revision = this.#options.mapRevision();
    return [absent, { key: OWNERSHIP_KEY, revision }];
  }

  #writes(count: number, lease: string): readonly Write[] {
    const { self } = this.#options;
    const record: MemberRecord = {
      instance: self,
      registration: count,
      lease,
    };
    const put: Write = {
      type: "put",
      key: this.#key,
      value: JSON.stringify(record),
      lease,
    };
    if (count === 1) return [put];
    const key = REGISTRATIONS_PREFIX + self.id;
    return [put, { type: "put", key, value: String(count) }];
  }

  /** Adopts the lease of an earlier registration whose response was lost. */
  async #adoptLease(): Promise<Result<RegistrationOutcome, StoreFailure>> {
    const entry = await this.#options.store.get(this.#key);
    if (entry.isErr()) return err(entry.error);
    const record = decodeMemberRecord(entry.value?.value ?? "");
    if (record === undefined) return ok({ type: "again" });
    this.#leaseId = record.lease;
    this.#count = record.registration;
    return ok({ type: "again" });
  }
}
