/**
 * Leases that expire unless they are renewed.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

interface Lease {
  readonly id: string;
  readonly ttlSeconds: number;
  expiresAt: number;
}

const MS_PER_SECOND = 1000;
const FIRST_ID = 7_587_862_094_000_000;

/** Active leases by id. */
export class Leases {
  #nextId = FIRST_ID;
  readonly #leases = new Map<string, Lease>();

  /** Grants a lease and returns its id. */
  grant(ttlSeconds: number): string {
    const id = String(this.#nextId++);
    const expiresAt = performance.now() + ttlSeconds * MS_PER_SECOND;
    this.#leases.set(id, { id, ttlSeconds, expiresAt });
    return id;
  }

  /** Renews a lease and returns its time to live in seconds, or 0 if there is no such lease. */
  renew(id: string): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = performance.now() + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Whether the lease exists and has not been removed by `expire` or `revoke`. */
  has(id: string): boolean {
    return this.#leases.has(id);
  }

  /** Removes a lease; `false` if there is no such lease. */
  revoke(id: string): boolean {
    return this.#leases.delete(id);
  }

  /** Removes all leases whose time to live has passed and returns their ids. */
  expire(): readonly string[] {
    const now = performance.now();
    const expired = [...this.#leases.values()]
      .filter((lease) => lease.expiresAt <= now)
      .map((lease) => lease.id);
    for (const id of expired) this.#leases.delete(id);
    return expired;
  }
}
