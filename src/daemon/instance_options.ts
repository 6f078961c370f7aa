/**
 * Dependencies of an instance.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { TcpPeers } from "../peers/tcp_peers.ts";
import type { FleetList } from "../ports/list.ts";
import type { Store } from "../ports/store.ts";
import type { Upstream } from "../ports/upstream.ts";
import type { Instance as Identity } from "../types.ts";

/** Dependencies of an instance. */
export interface InstanceOptions {
  readonly self: Identity;
  readonly store: Store;
  readonly list: FleetList;
  readonly peers: TcpPeers;
  readonly upstream: Upstream;
  readonly clock: Clock;
  readonly log: Log;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Time after which other instances take over from this one when it is unresponsive, milliseconds. */
  readonly leaseMs: number;
}
