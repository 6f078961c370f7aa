/**
 * Connections to all workers, each worker's own bounded.
 *
 * @module
 */
import { Connections, type ConnectionsOptions } from "./connections.ts";

/** Time without a request after which a worker's connections are dropped. */
const UNUSED_LIMIT_MS = 60_000;

/** Connections by `host:port`. */
export class WorkerConnections {
  readonly #options: ConnectionsOptions;
  readonly #byAddress = new Map<string, Connections>();
  #sweptAt: number;

  constructor(options: ConnectionsOptions) {
    this.#options = options;
    this.#sweptAt = options.clock.monotonic();
  }

  /** The connections to one worker. */
  to(address: string): Connections {
    const known = this.#byAddress.get(address);
    if (known !== undefined) return known;
    this.#sweep();
    const connections = new Connections(address, this.#options);
    this.#byAddress.set(address, connections);
    return connections;
  }

  /** Closes connections as soon as their requests are answered. */
  async close(): Promise<void> {
    const all = [...this.#byAddress.values()];
    this.#byAddress.clear();
    await Promise.all(all.map((connections) => connections.close()));
  }

  #sweep(): void {
    const now = this.#options.clock.monotonic();
    if (now - this.#sweptAt < UNUSED_LIMIT_MS) return;
    this.#sweptAt = now;
    for (const [address, connections] of this.#byAddress) {
      if (connections.unusedMs < UNUSED_LIMIT_MS) continue;
      this.#byAddress.delete(address);
      void connections.close();
    }
  }
}
