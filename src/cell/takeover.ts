/**
 * How an instance becomes leader: when it suspects that the leader has failed,
 * it asks its peers, and if most of them agree it writes its own leader record
 * by a conditional write.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import {
  rankCandidates,
  selectWatchers,
  strongerMembers,
} from "./candidates.ts";
import type { LeaderRecord, Member } from "./leader_record.ts";
import { SuspicionCheck } from "./suspicion_check.ts";
import type { LeaderMonitor } from "./leader_monitor.ts";
import type {
  LeaderRecordStore,
  VersionedRecord,
} from "./leader_record_store.ts";
import type { CellStore } from "./ports.ts";
import type { Membership } from "./membership.ts";
import type { SendTime } from "./term_confirmation.ts";

/** Delay before the next candidate in rank makes an attempt, milliseconds: time to write the record and announce the new leader. */
const DELAY_PER_RANK_MS = 100;
/** Additional delay of candidates on weak machines, milliseconds: time for a strong machine to restart. */
const WEAK_MACHINE_DELAY_MS = 1_500;
/** Mean pause between two attempts, milliseconds; the actual pause is random, from half to one and a half times this. */
const RETRY_DELAY_MS = 300;

/** Dependencies of {@linkcode Takeover}. */
export interface TakeoverOptions {
  readonly cell: string;
  readonly self: Member;
  readonly store: CellStore;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly leaderMonitor: LeaderMonitor;
  readonly recordStore: LeaderRecordStore;
  /** Opens connections to these instances and closes all others. */
  readonly link: (members: readonly Member[]) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  /** Leader record with the highest fence seen so far. */
  readonly latestRecord: () => VersionedRecord | undefined;
  /** Whether this process has a term, whether or not it was confirmed recently. */
  readonly hasTerm: () => boolean;
  /** Announces this instance to a leader. */
  readonly sendHello: (leader: LeaderRecord) => void;
  readonly refreshRecord: () => Promise<void>;
  /** Called when the store contains the leader record of another instance. */
  readonly observeRecord: (versioned: VersionedRecord) => void;
  /** The send time of a request that is sent now. */
  readonly sendTime: () => SendTime;
  /** Called with this process's own leader record once the store has committed it; `sent`: when its write was sent. */
  readonly startTerm: (versioned: VersionedRecord, sent: SendTime) => void;
}

/** Attempts to become leader, one attempt at a time. */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #suspicionCheck: SuspicionCheck;
  #busy = false;
  #retryAtMs = 0;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#suspicionCheck = new SuspicionCheck(options);
  }

  /** Whether a takeover, a confirmation of this instance's own term, or a transfer of leadership is in progress. */
  get isBusy(): boolean {
    return this.#busy;
  }

  /** Makes no attempt until `work` has settled. */
  pauseDuring(work: Promise<unknown>): void {
    this.#busy = true;
    void work.finally(() => this.#busy = false);
  }

  /** Whether this instance should now attempt to replace the leader. */
  isDue(): boolean {
    const { clock, self, leaderMonitor } = this.#options;
    if (this.#busy || clock.monotonic() < this.#retryAtMs) return false;
    const isWeak = this.#isWeak();
    // A restarted leader resumes at once, unless its machine is weak.
    if (this.#ledBefore() && !isWeak) return true;
    const rank = this.rankedCandidates().indexOf(self.name);
    const delayMs = rank * DELAY_PER_RANK_MS +
      (isWeak ? WEAK_MACHINE_DELAY_MS : 0);
    return leaderMonitor.isSilent(Math.max(0, delayMs));
  }

  /** Names of the candidates in the order of their attempts. */
  rankedCandidates(): readonly string[] {
    const { self, membership, latestRecord, hasTerm } = this.#options;
    return rankCandidates(membership.members, {
      // The leader ranks only the others: one of them will succeed it.
      self: hasTerm() ? undefined : self,
      leader: latestRecord()?.record.name,
      fence: this.#fence(),
    });
  }

  /**
   * Makes one attempt to become leader. It goes ahead if the leader has
   * requested it, if an earlier process of this instance was the last leader,
   * or if peers confirm that the leader is silent.
   */
  async attempt(
    { requested }: { readonly requested: boolean },
  ): Promise<void> {
    if (this.#busy || this.#options.hasTerm()) return;
    this.#busy = true;
    try {
      const fence = this.#fence();
      const isAllowed = requested || this.#ledBefore() ||
        await this.#isSilentForOthers();
      // The check is void if a later leader became known while it ran.
      if (isAllowed && this.#fence() === fence) await this.#acquire();
    } finally {
      this.#busy = false;
      const { clock, random } = this.#options;
      this.#retryAtMs = clock.monotonic() + RETRY_DELAY_MS * (0.5 + random());
    }
  }

  #fence(): number {
    return this.#options.latestRecord()?.record.fence ?? 0;
  }

  /** Whether an earlier process of this instance was the last leader. */
  #ledBefore(): boolean {
    const { latestRecord, self } = this.#options;
    return latestRecord()?.record.name === self.name;
  }

  /** Whether a member runs on a machine with at least twice the cores. */
  #isWeak(): boolean {
    const { self, membership } = this.#options;
    return strongerMembers(self, membership.members).length > 0;
  }

  async #isSilentForOthers(): Promise<boolean> {
    const { link, leaderMonitor, latestRecord, sendHello } = this.#options;
    const leader = latestRecord()?.record;
    if (leader === undefined) return true;
    const others = this.#peersToAsk(leader);
    link([leader, ...others]);
    const { silenceMs } = leaderMonitor;
    const verdict = await this.#suspicionCheck.check(leader, others, {
      silenceMs,
    });
    switch (verdict) {
      case "silent":
        return true;
      case "heard":
        // The leader may have dropped this instance from its members.
        sendHello(leader);
        return false;
      case "replaced":
        await this.#options.refreshRecord();
        return false;
    }
  }

  /**
   * Peers to ask about a silent leader. A watcher asks the other watchers, who
   * receive heartbeats at the same short interval and so notice the silence at
   * the same time; any other instance asks all peers.
   */
  #peersToAsk(leader: LeaderRecord): readonly Member[] {
    const { self, membership, leaderMonitor } = this.#options;
    const others = membership.members.filter((member) =>
      member.name !== self.name && member.name !== leader.name
    );
    if (!leaderMonitor.isWatcher) return others;
    const watchers = new Set(selectWatchers(this.rankedCandidates()));
    return others.filter(({ name }) => watchers.has(name));
  }

  /** Writes this process's leader record with the next fence, on condition that the known record is unchanged. */
  async #acquire(): Promise<void> {
    const {
      latestRecord,
      leaderMonitor,
      observeRecord,
      startTerm,
      sendTime,
      refreshRecord,
      recordStore,
    } = this.#options;
    if (latestRecord() === undefined) {
      await refreshRecord();
      // Another instance was elected first; its heartbeats will follow.
      if (latestRecord() !== undefined) return;
    }
    const revision = latestRecord()?.revision ?? 0;
    const sent = sendTime();
    const outcome = await recordStore.acquire(this.#fence() + 1, revision);
    switch (outcome.type) {
      case "held":
        return startTerm(outcome.stored, sent);
      case "replaced":
        observeRecord(outcome.stored);
        leaderMonitor.recordNewLeader();
        return;
      case "failed":
        return await refreshRecord();
    }
  }
}
