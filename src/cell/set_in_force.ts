/**
 * The operators' set that is in force at this instance. It never goes back to
 * an older version.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { ClusterSet, Queue, Team } from "./types.ts";

/** A call's place in the set. */
export type Admission =
  | {
    readonly type: "admitted";
    readonly queue: Queue;
    readonly team: string;
    /** Path behind the queue's prefix. */
    readonly rest: string;
  }
  | { readonly type: "noSet" }
  | { readonly type: "noQueue" }
  | { readonly type: "unknownKey" };

/** The set in force and what is looked up in it. */
export class SetInForce {
  readonly #clock: Clock;
  readonly #log: Log;
  #set: ClusterSet | undefined;
  #byHost = new Map<string, readonly Queue[]>();
  #byKey = new Map<string, Team>();
  #listeners: (() => void)[] = [];

  constructor(
    { clock, log }: { readonly clock: Clock; readonly log: Log },
  ) {
    this.#clock = clock;
    this.#log = log;
  }

  /** The set; `undefined` before the first one. */
  get set(): ClusterSet | undefined {
    return this.#set;
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.#set?.version ?? 0;
  }

  /** Puts a set into force if it is newer. */
  offer(set: ClusterSet, source: string): void {
    if (set.version <= this.version) return;
    this.#log.info("set.inForce", {
      version: set.version,
      before: this.version,
      queues: set.queues.length,
      teams: set.teams.length,
      source,
    });
    this.#set = set;
    this.#byHost = queuesByHost(set.queues);
    this.#byKey = new Map(
      set.teams.flatMap((team) => team.keys.map((key) => [key, team])),
    );
    for (const listener of this.#listeners.splice(0)) listener();
  }

  /** Resolves once a version is in force, or after `timeoutMs`. */
  async reaches(version: number, timeoutMs: number): Promise<void> {
    const end = this.#clock.monotonic() + timeoutMs;
    while (this.version < version && this.#clock.monotonic() < end) {
      const left = end - this.#clock.monotonic();
      await Promise.race([
        new Promise<void>((resolve) => this.#listeners.push(resolve)),
        sleep(this.#clock, left),
      ]);
    }
  }

  /** Finds queue and team of a call. */
  admit(call: {
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
  }): Admission {
    if (this.#set === undefined) return { type: "noSet" };
    const queue = this.#byHost.get(call.host)
      ?.find((one) => call.path.startsWith(one.pathPrefix));
    if (queue === undefined) return { type: "noQueue" };
    const team = call.key === undefined ? undefined : this.#byKey.get(call.key);
    if (team === undefined && !queue.open) return { type: "unknownKey" };
    return {
      type: "admitted",
      queue,
      team: team?.name ?? "",
      rest: call.path.slice(queue.pathPrefix.length),
    };
  }
}

/** Queues of each host, the longest prefix first. */
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
