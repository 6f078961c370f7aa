/**
 * Leader election for a cell.
 *
 * The leader record in the store names the leader and its fence (fencing
 * token). A process becomes leader by a conditional write of this record with a
 * higher fence, which starts its term. The leader sends heartbeats to all
 * members; when these stop, the members ask each other whether the leader has
 * failed, and the first candidate in rank takes over.
 *
 * Suspicion of a failure is enough for a takeover, since a former leader that is
 * still alive can do no harm: its writes are conditional on the leader record
 * and fail once that has changed, and a worker that the new leader has called
 * rejects requests with the lower fence. A leader whose term was not confirmed
 * recently, by a write or by replies of most members, sends no requests.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { MAX_ISOLATED_LEADER_MS } from "./cell.ts";
import { selectWatchers } from "./candidates.ts";
import { endTermOnFailure } from "./context.ts";
import type { LeaderRecord, LeaderTerm, Member } from "./leader_record.ts";
import { type SendTime, TermConfirmation } from "./term_confirmation.ts";
import { LeaderMonitor } from "./leader_monitor.ts";
import {
  LeaderRecordStore,
  type VersionedRecord,
} from "./leader_record_store.ts";
import { KnownLeader } from "./known_leader.ts";
import type { LeadershipOptions } from "./leadership_options.ts";
import { heartbeatCall, helloCall, transferCall } from "./protocol.ts";
import { Membership } from "./membership.ts";
import { HeartbeatSender } from "./heartbeat_sender.ts";
import { LeadershipTransfer } from "./leadership_transfer.ts";
import { Takeover } from "./takeover.ts";
import { type QueueCounts, WaitingCounts } from "./waiting_counts.ts";

/** Interval at which leadership is checked, milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Age of the last confirmation after which the leader confirms its term by a write, milliseconds. */
const CONFIRM_AFTER_MS = 700;

/** Monitors the leader of a cell, and takes the cell over when the leader is silent. */
export class Leadership {
  readonly #options: LeadershipOptions;
  readonly #membership: Membership;
  readonly #leaderMonitor: LeaderMonitor;
  readonly #waitingCounts: WaitingCounts;
  readonly #confirmation: TermConfirmation;
  readonly #heartbeatSender: HeartbeatSender;
  readonly #recordStore: LeaderRecordStore;
  readonly #leadershipTransfer: LeadershipTransfer;
  readonly #takeover: Takeover;
  readonly #knownLeader: KnownLeader;
  /** This process's term; `undefined` while another process leads. */
  #term: LeaderTerm | undefined;
  #isLeaving = false;

  constructor(options: LeadershipOptions) {
    this.#options = options;
    this.#membership = new Membership(options);
    this.#leaderMonitor = new LeaderMonitor(
      options.clock,
      () => this.#membership.members.length,
    );
    this.#waitingCounts = new WaitingCounts(options.clock);
    this.#confirmation = new TermConfirmation(options.clock);
    this.#recordStore = new LeaderRecordStore(options);
    this.#knownLeader = new KnownLeader({
      ...options,
      recordStore: this.#recordStore,
      leaderMonitor: this.#leaderMonitor,
      hasTerm: () => this.#term !== undefined,
      stepDown: (reason) => this.stepDown(reason),
    });
    this.#leadershipTransfer = new LeadershipTransfer({
      ...options,
      membership: this.#membership,
      term: () => this.#term,
      rankedCandidates: () => this.#takeover.rankedCandidates(),
    });
    this.#takeover = new Takeover({
      ...options,
      membership: this.#membership,
      leaderMonitor: this.#leaderMonitor,
      recordStore: this.#recordStore,
      latestRecord: () => this.#knownLeader.latest,
      hasTerm: () => this.#term !== undefined,
      sendHello: (record) => void this.#knownLeader.sendHello(record),
      refreshRecord: () => this.#knownLeader.refresh(),
      observeRecord: (versioned) => this.#knownLeader.observe(versioned),
      sendTime: () => this.#confirmation.now(),
      startTerm: (versioned, sent) => this.#startTerm(versioned, sent),
    });
    this.#heartbeatSender = new HeartbeatSender({
      ...options,
      membership: this.#membership,
      confirmation: this.#confirmation,
      term: () => this.#term,
      watchers: () => selectWatchers(this.#takeover.rankedCandidates()),
      ownCounts: () => this.#ownCounts(),
      waitingCounts: this.#waitingCounts,
      stepDown: (reason) => this.stepDown(reason),
      onLaterLeader: () => void this.#knownLeader.refresh(),
      onNewerSet: (peer, version) => this.onNewerSet(peer, version),
    });
  }

  /** The leader; `undefined` if none is known or this process leads. */
  get leader(): Member | undefined {
    const { latest } = this.#knownLeader;
    if (this.#term !== undefined || latest === undefined) return undefined;
    const { name, address, cores } = latest.record;
    return { name, address, cores };
  }

  /** Milliseconds since the last contact with the leader, or since this process learned of a new leader if that was later. */
  get silenceMs(): number {
    return this.#leaderMonitor.silenceMs;
  }

  /** Calls `listener` after each change of leader, also to this process; returns a function that removes the listener. */
  onLeaderChange(listener: () => void): () => void {
    return this.#knownLeader.onLeaderChange(listener);
  }

  /** Highest fence seen so far; 0 before the first. */
  get fence(): number {
    return this.#knownLeader.fence;
  }

  /** On the leader, the members that replied recently; on any other instance, the leader alone. */
  reachableInstances(): readonly string[] {
    if (this.#term === undefined) {
      return this.leader === undefined ? [] : [this.leader.name];
    }
    return this.#membership.reachable();
  }

  /** Instances through which the store may be reached. */
  storeRelays(): readonly string[] {
    if (this.#term !== undefined) return this.#membership.withStoreAccess();
    // A takeover that relays through a silent leader would wait for its timeout.
    return this.#leaderMonitor.hasContact ? this.reachableInstances() : [];
  }

  /** Number of accepted jobs that have not started, by queue, from this process or from a leader's recent heartbeat; `undefined` if neither is known. */
  waitingJobs(): QueueCounts | undefined {
    return this.#ownCounts() ?? this.#waitingCounts.latest;
  }

  /** Whether this process has a term that was confirmed recently; requests may be sent to workers only then. */
  isLeading(): boolean {
    if (this.#term === undefined) return false;
    const { ageMs, wasSuspended } = this.#confirmation;
    return ageMs < MAX_ISOLATED_LEADER_MS && !wasSuspended;
  }

  /** Records that the store has committed a write of this leader, sent at `sentMs` (monotonic milliseconds). */
  recordConfirmation(sentMs: number): void {
    this.#confirmation.extend(sentMs);
  }

  /** Ends this process's term, since a worker or the store has shown that another process leads. */
  stepDown(reason: string): void {
    if (this.#term === undefined) return;
    const { fence } = this.#term;
    this.#options.log.warn("hold.lost", { fence, reason });
    this.#term = undefined;
    this.#leaderMonitor.recordNewLeader();
    this.#options.listener.termEnded(fence, reason);
    void this.#knownLeader.refresh();
  }

  /** Takes part in the election until the process ends; the promise never resolves. */
  async run(): Promise<void> {
    this.#serveCalls();
    const { clock } = this.#options;
    await this.#endTermOnFailure("registration", () => this.#register());
    void this.#heartbeatSender.run();
    for (;;) {
      await this.#endTermOnFailure("election", () => this.#tick());
      await sleep(clock, TICK_INTERVAL_MS);
    }
  }

  /** Transfers leadership before the process exits; `false` if no instance took it. */
  transfer(): Promise<boolean> {
    this.#isLeaving = true;
    return this.#leadershipTransfer.transferBeforeExit();
  }

  async #register(): Promise<void> {
    await this.#membership.register();
    await this.#membership.loadStored();
    await this.#knownLeader.refresh();
  }

  async #tick(): Promise<void> {
    if (this.#term !== undefined) this.#maintainTerm();
    else if (!this.#isLeaving && this.#takeover.isDue()) {
      await this.#takeover.attempt({ requested: false });
    }
  }

  #endTermOnFailure(part: string, work: () => Promise<void>): Promise<void> {
    const { log } = this.#options;
    const stepDown = (reason: string) => this.stepDown(reason);
    return endTermOnFailure({ log, fence: this.fence, stepDown }, part, work);
  }

  #serveCalls(): void {
    const { peers, boot, set, reachesStore } = this.#options;
    peers.serve(heartbeatCall, (heartbeat, from) => {
      const record: LeaderRecord = {
        ...heartbeat.holder,
        boot: heartbeat.boot,
        fence: heartbeat.fence,
      };
      if (heartbeat.fence >= this.fence) {
        this.#knownLeader.observe({ record, revision: heartbeat.revision });
        this.#leaderMonitor.recordHeartbeat(heartbeat);
        if (heartbeat.waitingKnown ?? true) {
          this.#waitingCounts.record(new Map(heartbeat.waiting));
        }
        if (heartbeat.members !== null) {
          this.#membership.replaceAll(heartbeat.members, heartbeat);
        }
        if (heartbeat.setVersion > set.version) {
          this.onNewerSet(from, heartbeat.setVersion);
        }
      }
      return {
        fence: this.fence,
        setVersion: set.version,
        reachesStore: reachesStore(),
        membersVersion: this.#membership.receivedVersionFrom(heartbeat.boot),
      };
    });
    peers.serve(helloCall, (member) => {
      if (this.#term !== undefined) this.#membership.admit(member);
      const holds = this.#term !== undefined;
      return {
        boot,
        fence: this.fence,
        holds,
        hearsHolder: holds || this.#leaderMonitor.hasContact,
      };
    });
    peers.serve(transferCall, async ({ fence }) => {
      if (this.#isLeaving || fence < this.fence) return false;
      await this.#takeover.attempt({ requested: true });
      return this.#term !== undefined;
    });
    peers.onDisconnect((peer) => {
      if (peer === this.leader?.name) this.#leaderMonitor.recordLinkLoss();
    });
  }

  /** Called when a peer has a newer operator set than this process; the owner assigns a function that fetches it. */
  onNewerSet: (peer: string, version: number) => void = () => {};

  /** Counts of this process's term; `undefined` unless it leads for certain and has read the jobs back. */
  #ownCounts(): QueueCounts | undefined {
    return this.isLeading() ? this.#options.listener.waitingJobs() : undefined;
  }

  #startTerm(versioned: VersionedRecord, sent: SendTime): void {
    const { log, listener } = this.#options;
    this.#knownLeader.setOwn(versioned);
    const { fence } = versioned.record;
    const term = { fence, revision: versioned.revision };
    this.#term = term;
    this.#leadershipTransfer.termStarted();
    this.#confirmation.confirm(sent);
    log.info("hold.gained", {
      fence,
      revision: versioned.revision,
      silenceMs: Math.round(this.silenceMs),
    });
    this.#membership.startTracking();
    void this.#heartbeatSender.termStarted();
    listener.termStarted(term);
  }

  /** Confirms the term when its last confirmation is old; otherwise offers leadership to a stronger machine. */
  #maintainTerm(): void {
    if (this.#takeover.isBusy) return;
    const { ageMs, wasSuspended } = this.#confirmation;
    const isStale = ageMs >= CONFIRM_AFTER_MS || wasSuspended;
    const work = isStale
      ? this.#confirmTerm()
      : this.#leadershipTransfer.offerToStronger();
    if (work !== undefined) this.#takeover.pauseDuring(work);
  }

  async #confirmTerm(): Promise<void> {
    const term = this.#term;
    if (term === undefined) return;
    const sent = this.#confirmation.now();
    const outcome = await this.#recordStore.confirm(term);
    if (outcome.type === "replaced") this.#knownLeader.observe(outcome.stored);
    if (outcome.type !== "held") return;
    this.#confirmation.confirm(sent);
  }
}
