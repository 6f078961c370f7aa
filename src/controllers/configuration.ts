/**
 * Keeps the operators' set of an instance current: from the store by watch
 * and by reading, and from peers while the store is out of reach. Numbers only
 * grow.
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

/** Time between checks whether the configuration is current, milliseconds. */
export const CHECK_INTERVAL_MS = 1_000;
/** Age above which a check asks peers, and one that watches reads the store, milliseconds. */
const FRESH_MS = 1_000;
/** Age above which any instance reads the store, milliseconds. */
const STALE_MS = 10_000;
/** Part of the interval by which checks are spread. */
const JITTER = 0.2;
/** Instances that watch the store; the others hear from peers. */
const WATCHING_INSTANCES = 8;
/** Peers that are told of a new publication. */
const TOLD_PEERS = 4;
/** Peers that are asked while the store is out of reach. */
const ASKED_PEERS = 2;

/** What the controller needs. */
export interface ConfigurationOptions {
  /** Id of this instance. */
  readonly self: string;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  /** From 0 to below 1. */
  readonly random?: () => number;
}

/** Gives the operators' set in force and tells of changes. */
export class ConfigurationFeed {
  readonly #options: ConfigurationOptions;
  readonly #random: () => number;
  readonly #inForce: ActiveConfiguration;
  readonly #watch: HeadWatch;
  readonly #storeTasks = new SerialExecutor((error) => this.#report(error));
  readonly #peerTasks = new SerialExecutor((error) => this.#report(error));
  readonly #listeners: ((configuration: Configuration) => void)[] = [];
  /** Time of the last reading of the store. */
  #readAt = -Infinity;
  #timer: Timer | undefined;
  #stopped = false;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    const { store, peers, clock } = options;
    this.#inForce = new ActiveConfiguration(options);
    this.#watch = new HeadWatch({
      store,
      clock,
      random: this.#random,
      onHead: (value) => void this.#storeTasks.run(() => this.#takeHead(value)),
      onEnd: (failure) => this.#warn("configuration.watch_ended", failure),
    });
    peers.serve(activeHeadCall, ({ number }, from) => {
      this.#hear(number, from);
      return this.#standing();
    });
    peers.serve(
      chunkCall,
      (query) => chunkResponse(this.#inForce.current()?.publication, query),
    );
    peers.onNotification(
      activatedNotice,
      ({ number }, from) => this.#hear(number, from),
    );
  }

  /** Starts to follow the configuration; resolves after the first attempt. */
  async start(): Promise<void> {
    await this.#check();
    this.#schedule();
  }

  /** Stops following; what is in force stays readable. */
  stop(): void {
    this.#stopped = true;
    this.#timer?.cancel();
    this.#watch.stop();
    this.#storeTasks.close();
    this.#peerTasks.close();
  }

  /** What is in force; `undefined` before the first publication is read. */
  current(): Configuration | undefined {
    return this.#inForce.current();
  }

  /** Milliseconds since the store was last known to hold what is in force. */
  ageMs(): number {
    return this.#inForce.ageMs();
  }

  /** Calls `listener` after each publication that comes into force. */
  onChange(listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener);
  }

  /** Fetches from a peer that has a later publication. */
  #hear(number: number, from: string): void {
    const isLater = () => number > this.#inForce.number();
    if (!isLater()) return;
    void this.#peerTasks.run(async () => {
      if (isLater()) await this.#askPeer(from);
    });
  }

  #standing(): ActiveHead {
    const ageMs = this.ageMs();
    return {
      head: this.#inForce.head() ?? null,
      confirmedAgoMs: Number.isFinite(ageMs) ? ageMs : null,
    };
  }

  #report(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    this.#options.log.error("configuration.task_failed", { message });
  }

  #schedule(): void {
    if (this.#stopped) return;
    const spread = 1 + JITTER * (this.#random() - 0.5);
    this.#timer = this.#options.clock.after(CHECK_INTERVAL_MS * spread, () => {
      void this.#check().then(() => this.#schedule());
    });
  }

  /** Asks a peer first, then the store if it is due, then the other peers. */
  async #check(): Promise<void> {
    const sample = this.#samplePeers(ASKED_PEERS);
    const first = this.current() === undefined ? [] : sample.slice(0, 1);
    await this.#peerTasks.run(() => this.#askPeersIfOld(first));
    if (!this.#isWatcher()) this.#watch.stop();
    if (this.#readIsDue()) {
      await this.#storeTasks.run(() => this.#readStore());
    }
    await this.#peerTasks.run(() => this.#askPeersIfOld(sample));
  }

  async #askPeersIfOld(sample: readonly string[]): Promise<void> {
    for (const peer of sample) {
      if (this.ageMs() > FRESH_MS) await this.#askPeer(peer);
    }
  }

  async #askPeer(peer: string): Promise<void> {
    const { peers, clock } = this.#options;
    const sentAt = clock.monotonic();
    const reading = await readPeerHead(peers, peer, {
      number: this.#inForce.number(),
    });
    if (reading.isErr()) return;
    const { head, confirmedAgoMs } = reading.value;
    if (head === null) return;
    if (this.#inForce.shouldFetch(head)) {
      const body = await readPublicationFromPeer(peers, peer, { head });
      body.match(
        (publication) => this.#apply(publication),
        (failure) => this.#warn("configuration.peer_read_failed", failure),
      );
    }
    if (confirmedAgoMs === null || head.number < this.#inForce.number()) return;
    this.#inForce.confirm(head, sentAt - confirmedAgoMs);
  }

  async #readStore(): Promise<void> {
    const { store, clock } = this.#options;
    const sentAt = clock.monotonic();
    const reading = await store.list(HEAD_KEY);
    if (reading.isErr()) return;
    this.#readAt = sentAt;
    const { entries, revision } = reading.value;
    const entry = entries.find(({ key }) => key === HEAD_KEY);
    if (entry !== undefined) {
      const head = await this.#takeHead(entry.value);
      if (head !== undefined) this.#inForce.confirm(head, sentAt);
    }
    if (this.#watchIsDue()) this.#watch.start(revision + 1);
  }

  async #takeHead(value: string): Promise<Head | undefined> {
    const decoded = decodeHead(value);
    if (decoded.isErr()) {
      this.#warn("configuration.head_malformed", decoded.error);
      return undefined;
    }
    const head = decoded.value;
    if (this.#inForce.shouldFetch(head)) {
      const body = await readPublicationByHead(this.#options.store, head);
      body.match(
        (publication) => this.#apply(publication),
        (failure) => this.#warn("configuration.read_failed", failure),
      );
    }
    return head;
  }

  #apply(publication: Publication): void {
    if (!this.#inForce.apply(publication)) return;
    const configuration = this.#inForce.current();
    if (configuration === undefined) return;
    for (const listener of this.#listeners) listener(configuration);
    this.#tellPeers(publication.number);
  }

  #readIsDue(): boolean {
    if (this.#watchIsDue()) return true;
    const sinceReadMs = this.#options.clock.monotonic() - this.#readAt;
    const boundMs = this.#isWatcher() ? FRESH_MS : STALE_MS;
    return Math.min(this.ageMs(), sinceReadMs) > boundMs;
  }

  #watchIsDue(): boolean {
    return !this.#stopped && this.#isWatcher() && this.#watch.isDue();
  }

  /** Whether this instance is among the few that follow the store themselves. */
  #isWatcher(): boolean {
    const { self, members } = this.#options;
    const rank = members().filter((member) => member < self).length;
    return rank < WATCHING_INSTANCES;
  }

  #tellPeers(number: number): void {
    const { peers } = this.#options;
    for (const peer of this.#samplePeers(TOLD_PEERS)) {
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

  #warn(event: string, failure: Failure): void {
    const { type, message } = failure;
    this.#options.log.warn(event, { type, message });
  }
}
