/**
 * The leader of the cell as this instance knows it: the leader record with the
 * highest fence seen so far, from the store, from heartbeats or from a write of
 * this process.
 *
 * @module
 */
import type { LeaderRecord } from "./leader_record.ts";
import type { LeaderMonitor } from "./leader_monitor.ts";
import type {
  LeaderRecordStore,
  VersionedRecord,
} from "./leader_record_store.ts";
import type { LeadershipOptions } from "./leadership_options.ts";
import { helloCall } from "./protocol.ts";

/** Timeout of a hello call, milliseconds. */
const HELLO_TIMEOUT_MS = 500;

/** Dependencies of {@linkcode KnownLeader}. */
export interface KnownLeaderOptions
  extends Pick<LeadershipOptions, "self" | "boot" | "peers" | "link" | "log"> {
  readonly recordStore: LeaderRecordStore;
  readonly leaderMonitor: LeaderMonitor;
  /** Whether this process has a term, whether or not it was confirmed recently. */
  readonly hasTerm: () => boolean;
  /** Ends this process's term, because another process leads. */
  readonly stepDown: (reason: string) => void;
}

/** Tracks the latest leader record. */
export class KnownLeader {
  readonly #options: KnownLeaderOptions;
  readonly #changeListeners = new Set<() => void>();
  #latest: VersionedRecord | undefined;

  constructor(options: KnownLeaderOptions) {
    this.#options = options;
  }

  /** The record with the highest fence; `undefined` until one has been seen. */
  get latest(): VersionedRecord | undefined {
    return this.#latest;
  }

  /** Highest fence seen so far; 0 before the first. */
  get fence(): number {
    return this.#latest?.record.fence ?? 0;
  }

  /** Calls `listener` after each change of leader, also to this process; returns a function that removes the listener. */
  onLeaderChange(listener: () => void): () => void {
    this.#changeListeners.add(listener);
    return () => void this.#changeListeners.delete(listener);
  }

  /** Reads the record from the store and sends a hello to the leader that it names. */
  async refresh(): Promise<void> {
    const stored = await this.#options.recordStore.read();
    if (stored === undefined) return;
    this.observe(stored);
    const isOwn = stored.record.name === this.#options.self.name;
    if (isOwn || this.#options.hasTerm()) return;
    void this.sendHello(stored.record);
  }

  /** Announces this instance to the leader, and checks that the process still leads. */
  async sendHello(record: LeaderRecord): Promise<void> {
    const { peers, self, leaderMonitor } = this.#options;
    const reply = await peers.call(record.name, helloCall, {
      params: self,
      timeoutMs: HELLO_TIMEOUT_MS,
    });
    if (reply.isErr()) return;
    if (reply.value.boot === record.boot && reply.value.holds) {
      leaderMonitor.recordResponse();
    } else if (this.#latest?.record === record) {
      leaderMonitor.recordRestart();
    }
  }

  /** Keeps a record from the store or from a heartbeat, unless a record with a higher fence is known. */
  observe(versioned: VersionedRecord): void {
    const before = this.#latest;
    const { fence, name, boot } = versioned.record;
    if (before !== undefined && fence < before.record.fence) return;
    this.#latest = versioned;
    if (fence === before?.record.fence) return;
    const { self, log, leaderMonitor, hasTerm, stepDown, link } = this.#options;
    if (name === self.name && boot === this.#options.boot) return;
    const { revision } = versioned;
    log.info("hold.noted", { holder: name, fence, revision });
    leaderMonitor.recordNewLeader();
    this.#notifyLeaderChange();
    if (hasTerm()) stepDown(`${name} has become leader`);
    if (name !== self.name) link([versioned.record]);
  }

  /** Keeps the record that this process has written. */
  setOwn(versioned: VersionedRecord): void {
    this.#latest = versioned;
    this.#notifyLeaderChange();
  }

  #notifyLeaderChange(): void {
    for (const listener of [...this.#changeListeners]) listener();
  }
}
