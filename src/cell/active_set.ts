/**
 * The operator set that is active at this instance. An older version never
 * replaces a newer one.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { ClusterSet, Queue, Team } from "./types.ts";

/**
 * Queue and team of a client's request. `noSet`: no set is active yet. `noQueue`:
 * no queue matches the host and path. `unknownKey`: the queue requires the key
 * of a team.
 */
export type Admission =
  | {
    readonly type: "admitted";
    readonly queue: Queue;
    /** Name of the team; empty for a request without a known key to an open queue. */
    readonly team: string;
    /** The path without the queue's prefix. */
    readonly rest: string;
  }
  | { readonly type: "noSet" }
  | { readonly type: "noQueue" }
  | { readonly type: "unknownKey" };

/** Holds the active set and looks up queues and teams in it. */
export class ActiveSet {
  readonly #clock: Clock;
  readonly #log: Log;
  #set: ClusterSet | undefined;
  #queuesByHost = new Map<string, readonly Queue[]>();
  #teamsByKey = new Map<string, Team>();
  #versionWaiters: (() => void)[] = [];

  constructor(
    { clock, log }: { readonly clock: Clock; readonly log: Log },
  ) {
    this.#clock = clock;
    this.#log = log;
  }

  /** The active set; `undefined` before the first one. */
  get set(): ClusterSet | undefined {
    return this.#set;
  }

  /** Version of the active set; 0 before the first one. */
  get version(): number {
    return this.#set?.version ?? 0;
  }

  /** Activates a set if it is newer than the active one. `source`: for the log line. */
  activate(set: ClusterSet, source: string): void {
    if (set.version <= this.version) return;
    this.#log.info("set.inForce", {
      version: set.version,
      before: this.version,
      queues: set.queues.length,
      teams: set.teams.length,
      source,
    });
    this.#set = set;
    this.#queuesByHost = queuesByHost(set.queues);
    this.#teamsByKey = new Map(
      set.teams.flatMap((team) => team.keys.map((key) => [key, team])),
    );
    for (const listener of this.#versionWaiters.splice(0)) listener();
  }

  /** Resolves once at least `version` is active, or after `timeoutMs`. */
  async waitForVersion(version: number, timeoutMs: number): Promise<void> {
    const deadlineMs = this.#clock.monotonic() + timeoutMs;
    while (this.version < version && this.#clock.monotonic() < deadlineMs) {
      const remainingMs = deadlineMs - this.#clock.monotonic();
      await Promise.race([
        new Promise<void>((resolve) => this.#versionWaiters.push(resolve)),
        sleep(this.#clock, remainingMs),
      ]);
    }
  }

  /** Determines the queue and the team of a client's request. */
  admit(call: {
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
  }): Admission {
    if (this.#set === undefined) return { type: "noSet" };
    const queue = this.#queuesByHost.get(call.host)
      ?.find((candidate) => call.path.startsWith(candidate.pathPrefix));
    if (queue === undefined) return { type: "noQueue" };
    const team = call.key === undefined
      ? undefined
      : this.#teamsByKey.get(call.key);
    if (team === undefined && !queue.open) return { type: "unknownKey" };
    return {
      type: "admitted",
      queue,
      team: team?.name ?? "",
      rest: call.path.slice(queue.pathPrefix.length),
    };
  }
}

/** Groups queues by host, sorted by path prefix, the longest first. */
function queuesByHost(
  queues: readonly Queue[],
): Map<string, readonly Queue[]> {
  const byHost = new Map<string, Queue[]>();
  for (const queue of queues) {
    const same = byHost.get(queue.host) ?? [];
    same.push(queue);
    byHost.set(queue.host, same);
  }
  for (const same of byHost.values()) {
    same.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}
