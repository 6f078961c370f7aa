/**
 * Leases that lapse unless they are renewed.
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

/** All leases. */
export class Leases {
  #nextId = FIRST_ID;
  readonly #leases = new Map<string, Lease>();

  /** Grants a lease; gives its id. */
  grant(ttlSeconds: number): string {
    const id = String(this.#nextId++);
    const expiresAt = performance.now() + ttlSeconds * MS_PER_SECOND;
    this.#leases.set(id, { id, ttlSeconds, expiresAt });
    return id;
  }

  /** Renews a lease; gives its time to live, or 0 if there is no such lease. */
  renew(id: string): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = performance.now() + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Whether the lease is running. */
  has(id: string): boolean {
    return this.#leases.has(id);
  }

  /** Ends a lease; `false` if there is none. */
  revoke(id: string): boolean {
    return this.#leases.delete(id);
  }

  /** Ends the leases whose time has come; gives their ids. */
  expire(): readonly string[] {
    const now = performance.now();
    const lapsed = [...this.#leases.values()]
      .filter((lease) => lease.expiresAt <= now)
      .map((lease) => lease.id);
    for (const id of lapsed) this.#leases.delete(id);
    return lapsed;
  }
}
