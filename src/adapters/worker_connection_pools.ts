/**
 * One connection pool per worker.
 *
 * @module
 */
import {
  ConnectionPool,
  type ConnectionPoolOptions,
} from "./connection_pool.ts";

/** Time without a request after which the pool of a worker is closed. */
const POOL_IDLE_TIMEOUT_MS = 60_000;

/** Connection pools by `host:port` of the worker. */
export class WorkerConnectionPools {
  readonly #options: ConnectionPoolOptions;
  readonly #pools = new Map<string, ConnectionPool>();
  #lastSweepMs: number;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.#lastSweepMs = options.clock.monotonic();
  }

  /** Returns the pool for a worker, and creates it on first use. */
  poolFor(address: string): ConnectionPool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
    this.#removeIdlePools();
    const pool = new ConnectionPool(address, this.#options);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes all pools. */
  async close(): Promise<void> {
    const all = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(all.map((pool) => pool.close()));
  }

  #removeIdlePools(): void {
    const nowMs = this.#options.clock.monotonic();
    if (nowMs - this.#lastSweepMs < POOL_IDLE_TIMEOUT_MS) return;
    this.#lastSweepMs = nowMs;
    for (const [address, pool] of this.#pools) {
      if (pool.idleMs < POOL_IDLE_TIMEOUT_MS) continue;
      this.#pools.delete(address);
      void pool.close();
    }
  }
}
