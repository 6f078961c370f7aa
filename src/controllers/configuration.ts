/**
 * Keeps the operator set of an instance current: from the store by a watch and
 * by reads, and from peers while the store is unreachable. The number of the
 * active publication never decreases.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { decodeHead, type Head, HEAD_KEY } from "../configuration/head.ts";
import { HeadWatch } from "../configuration/head_watch.ts";
import {
  ActiveConfiguration,
  type Configuration,
} from "../configuration/active_configuration.ts";
import {
  chunkResponse,
  readPeerHead,
  readPublicationFromPeer,
} from "../configuration/peer_read.ts";
import { readPublicationByHead } from "../configuration/read.ts";
import type { Failure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Publication } from "../operator_set.ts";
import type { Peers } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import { SerialExecutor } from "../serial_executor.ts";
import {
  activatedNotice,
  type ActiveHead,
  activeHeadCall,
  chunkCall,
} from "../wire/configuration.ts";

/** Interval between checks whether the configuration is current, in milliseconds. */
export const CHECK_INTERVAL_MS = 1_000;
/** Age above which a check polls peers and a watching instance reads the store, in milliseconds. */
const FRESH_AGE_MS = 1_000;
/** Age above which any instance reads the store, in milliseconds. */
const STALE_AGE_MS = 10_000;
/** Fraction of the interval over which checks are spread at random. */
const CHECK_JITTER = 0.2;
/** Maximum number of instances that watch the store; all others follow through peers. */
const MAX_WATCHERS = 8;
/** Number of peers that are notified of a new publication. */
const NOTIFIED_PEERS = 4;
/** Number of peers that a check polls. */
const POLLED_PEERS = 2;

/** Dependencies of a {@linkcode ConfigurationFeed}. */
export interface ConfigurationOptions {
  /** Id of this instance. */
  readonly self: string;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  /** Random numbers, uniform in [0, 1). */
  readonly random?: () => number;
}

/** Provides the active operator set and notifies listeners of changes. */
export class ConfigurationFeed {
  readonly #options: ConfigurationOptions;
  readonly #random: () => number;
  readonly #active: ActiveConfiguration;
  readonly #watch: HeadWatch;
  readonly #storeTasks = new SerialExecutor((error) =>
    this.#logTaskFailure(error)
  );
  readonly #peerTasks = new SerialExecutor((error) =>
    this.#logTaskFailure(error)
  );
  readonly #listeners: ((configuration: Configuration) => void)[] = [];
  /** Monotonic time at which the last successful read of the store was sent. */
  #storeReadAtMs = -Infinity;
  #timer: Timer | undefined;
  #stopped = false;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    const { store, peers, clock } = options;
    this.#active = new ActiveConfiguration(options);
    this.#watch = new HeadWatch({
      store,
      clock,
      random: this.#random,
      onHead: (value) =>
        void this.#storeTasks.run(() => this.#applyHead(value)),
      onEnd: (failure) =>
        this.#logWarning("configuration.watch_ended", failure),
    });
    peers.serve(activeHeadCall, ({ number }, from) => {
      this.#fetchIfLater(number, from);
      return this.#activeHead();
    });
    peers.serve(
      chunkCall,
      (query) => chunkResponse(this.#active.current()?.publication, query),
    );
    peers.onNotification(
      activatedNotice,
      ({ number }, from) => this.#fetchIfLater(number, from),
    );
  }

  /**
   * Starts to follow the configuration. Resolves after the first check, whether
   * or not it succeeded.
   */
  async start(): Promise<void> {
    await this.#check();
    this.#schedule();
  }

  /** Stops following the configuration. The active configuration stays readable. */
  stop(): void {
    this.#stopped = true;
    this.#timer?.cancel();
    this.#watch.stop();
    this.#storeTasks.close();
    this.#peerTasks.close();
  }

  /** The active configuration; `undefined` before the first publication is read. */
  current(): Configuration | undefined {
    return this.#active.current();
  }

  /** Milliseconds since the active configuration was last confirmed to be the store's. */
  ageMs(): number {
    return this.#active.ageMs();
  }

  /** Calls `listener` after each publication that becomes active. */
  onChange(listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener);
  }

  /** Fetches a publication from the peer that announced it, if it is newer than the active one. */
  #fetchIfLater(number: number, from: string): void {
    const isLater = () => number > this.#active.number();
    if (!isLater()) return;
    void this.#peerTasks.run(async () => {
      if (isLater()) await this.#pollPeer(from);
    });
  }

  #activeHead(): ActiveHead {
    const ageMs = this.ageMs();
    return {
      head: this.#active.head() ?? null,
      confirmedAgoMs: Number.isFinite(ageMs) ? ageMs : null,
    };
  }

  #logTaskFailure(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    this.#options.log.error("configuration.task_failed", { message });
  }

  #schedule(): void {
    if (this.#stopped) return;
    const spread = 1 + CHECK_JITTER * (this.#random() - 0.5);
    this.#timer = this.#options.clock.after(CHECK_INTERVAL_MS * spread, () => {
      void this.#check().then(() => this.#schedule());
    });
  }

  /**
   * Polls one peer first, then reads the store if a read is due, then polls all
   * sampled peers if still stale.
   */
  async #check(): Promise<void> {
    const sample = this.#samplePeers(POLLED_PEERS);
    const first = this.current() === undefined ? [] : sample.slice(0, 1);
    await this.#peerTasks.run(() => this.#pollPeersIfStale(first));
    if (!this.#isWatcher()) this.#watch.stop();
    if (this.#readIsDue()) {
      await this.#storeTasks.run(() => this.#readStore());
    }
    await this.#peerTasks.run(() => this.#pollPeersIfStale(sample));
  }

  async #pollPeersIfStale(sample: readonly string[]): Promise<void> {
    for (const peer of sample) {
      if (this.ageMs() > FRESH_AGE_MS) await this.#pollPeer(peer);
    }
  }

  async #pollPeer(peer: string): Promise<void> {
    const { peers, clock } = this.#options;
    const sentAtMs = clock.monotonic();
    const reading = await readPeerHead(peers, peer, {
      number: this.#active.number(),
    });
    if (reading.isErr()) return;
    const { head, confirmedAgoMs } = reading.value;
    if (head === null) return;
    if (this.#active.shouldFetch(head)) {
      const body = await readPublicationFromPeer(peers, peer, { head });
      body.match(
        (publication) => this.#apply(publication),
        (failure) =>
          this.#logWarning("configuration.peer_read_failed", failure),
      );
    }
    if (confirmedAgoMs === null || head.number < this.#active.number()) return;
    this.#active.confirm(head, sentAtMs - confirmedAgoMs);
  }

  async #readStore(): Promise<void> {
    const { store, clock } = this.#options;
    const sentAtMs = clock.monotonic();
    const reading = await store.list(HEAD_KEY);
    if (reading.isErr()) return;
    this.#storeReadAtMs = sentAtMs;
    const { entries, revision } = reading.value;
    const entry = entries.find(({ key }) => key === HEAD_KEY);
    if (entry !== undefined) {
      const head = await this.#applyHead(entry.value);
      if (head !== undefined) this.#active.confirm(head, sentAtMs);
    }
    if (this.#watchIsDue()) this.#watch.start(revision + 1);
  }

  async #applyHead(value: string): Promise<Head | undefined> {
    const decoded = decodeHead(value);
    if (decoded.isErr()) {
      this.#logWarning("configuration.head_malformed", decoded.error);
      return undefined;
    }
    const head = decoded.value;
    if (this.#active.shouldFetch(head)) {
      const body = await readPublicationByHead(this.#options.store, head);
      body.match(
        (publication) => this.#apply(publication),
        (failure) => this.#logWarning("configuration.read_failed", failure),
      );
    }
    return head;
  }

  #apply(publication: Publication): void {
    if (!this.#active.apply(publication)) return;
    const configuration = this.#active.current();
    if (configuration === undefined) return;
    for (const listener of this.#listeners) listener(configuration);
    this.#notifyPeers(publication.number);
  }

  #readIsDue(): boolean {
    if (this.#watchIsDue()) return true;
    const sinceReadMs = this.#options.clock.monotonic() - this.#storeReadAtMs;
    const boundMs = this.#isWatcher() ? FRESH_AGE_MS : STALE_AGE_MS;
    return Math.min(this.ageMs(), sinceReadMs) > boundMs;
  }

  #watchIsDue(): boolean {
    return !this.#stopped && this.#isWatcher() && this.#watch.isDue();
  }

  /** Whether this instance is one of the {@linkcode MAX_WATCHERS} that watch the store. */
  #isWatcher(): boolean {
    const { self, members } = this.#options;
    const rank = members().filter((member) => member < self).length;
    return rank < MAX_WATCHERS;
  }

  #notifyPeers(number: number): void {
    const { peers } = this.#options;
    for (const peer of this.#samplePeers(NOTIFIED_PEERS)) {
      peers.notify(peer, activatedNotice, { number });
    }
  }

  #samplePeers(count: number): readonly string[] {
    return this.#options.members()
      .map((peer) => ({ peer, rank: this.#random() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ peer }) => peer);
  }

  #logWarning(event: string, failure: Failure): void {
    const { type, message } = failure;
    this.#options.log.warn(event, { type, message });
  }
}
