/**
 * Sends the leader's heartbeats to all members. A majority of replies also
 * confirms the leader's term. A few members, the watchers, receive heartbeats
 * more often, so that a failed leader is noticed as soon among hundreds of
 * members as among a few.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { LeaderTerm, Member } from "./leader_record.ts";
import { endTermOnFailure } from "./context.ts";
import type { TermConfirmation } from "./term_confirmation.ts";
import {
  HEARTBEAT_INTERVAL_MS,
  heartbeatIntervalMs,
} from "./leader_monitor.ts";
import { type Heartbeat, heartbeatCall } from "./protocol.ts";
import type { Membership } from "./membership.ts";
import type { ActiveSet } from "./active_set.ts";
import type { QueueCounts, WaitingCounts } from "./waiting_counts.ts";

/** Timeout of a heartbeat call, milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 700;
/** Time from the start of a term until watchers are appointed, milliseconds: a new leader first contacts all workers and members. */
const WATCH_DELAY_MS = 2_000;
/** Interval at which the leader reads the members from the store, milliseconds. */
const MEMBERS_READ_INTERVAL_MS = 5_000;

/** Dependencies of {@linkcode HeartbeatSender}. */
export interface HeartbeatSenderOptions {
  readonly self: Member;
  readonly boot: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly set: ActiveSet;
  readonly membership: Membership;
  readonly confirmation: TermConfirmation;
  /** This process's term, if it has one. */
  readonly term: () => LeaderTerm | undefined;
  /** Names of the members that watch the leader. */
  readonly watchers: () => readonly string[];
  /** Waiting jobs as this process counts them; `undefined` while it cannot tell. */
  readonly ownCounts: () => QueueCounts | undefined;
  /** The latest counts, also of a former leader. */
  readonly waitingCounts: WaitingCounts;
  /** Ends the term. */
  readonly stepDown: (reason: string) => void;
  /** Called when a member's reply has a higher fence. */
  readonly onLaterLeader: () => void;
  /** Called when a member has a newer operator set. */
  readonly onNewerSet: (member: string, version: number) => void;
}

/** Sends heartbeats while this process has a term. */
export class HeartbeatSender {
  readonly #options: HeartbeatSenderOptions;
  /** Version of the member list that each member has received from this process. */
  readonly #memberVersions = new Map<string, number>();
  /** Time of the last heartbeat to all members, monotonic milliseconds. */
  #sentAllMs = -Infinity;
  /** Start of the current term, monotonic milliseconds. */
  #termStartMs = -Infinity;

  constructor(options: HeartbeatSenderOptions) {
    this.#options = options;
  }

  /** Sends heartbeats until the process ends; the promise never resolves. */
  async run(): Promise<void> {
    const { clock, log, term, membership } = this.#options;
    let readAtMs = clock.monotonic();
    for (;;) {
      await sleep(clock, HEARTBEAT_INTERVAL_MS);
      const current = term();
      if (current === undefined) continue;
      const { fence } = current;
      const stepDown = (reason: string) => {
        if (term()?.fence === fence) this.#options.stepDown(reason);
      };
      void endTermOnFailure(
        { log, fence, stepDown },
        "heartbeats",
        () => this.#sendDue(),
      );
      if (
        clock.monotonic() - readAtMs < MEMBERS_READ_INTERVAL_MS
      ) continue;
      readAtMs = clock.monotonic();
      void membership.addStored();
    }
  }

  async #sendDue(): Promise<void> {
    const { clock, membership } = this.#options;
    const periodMs = heartbeatIntervalMs(membership.members.length);
    if (clock.monotonic() - this.#sentAllMs >= periodMs) await this.sendAll();
    else this.#sendToWatchers();
  }

  /** Call when a term of this process starts; sends a heartbeat to all members. */
  async termStarted(): Promise<void> {
    this.#termStartMs = this.#options.clock.monotonic();
    await this.sendAll();
  }

  /** Sends one heartbeat to all members, and confirms the term if most of them accept it. */
  async sendAll(): Promise<void> {
    const { clock, term, membership, confirmation } = this.#options;
    const sentMs = clock.monotonic();
    this.#sentAllMs = sentMs;
    const names = membership.members.map((member) => member.name);
    const watchers = new Set(this.#activeWatchers());
    const counts = this.#countWaiting();
    const accepted = await Promise.all(
      names.map((name) =>
        this.#send(name, { ...counts, watches: watchers.has(name) })
      ),
    );
    if (term() === undefined) return;
    // If a majority has seen no later leader, the term is confirmed without the store.
    const accepting = accepted.filter((isAccepted) => isAccepted).length;
    if (names.length === 0 || 2 * accepting <= names.length) return;
    confirmation.extend(sentMs);
  }

  #sendToWatchers(): void {
    const watchers = this.#activeWatchers();
    if (watchers.length === 0) return;
    const counts = this.#countWaiting();
    for (const name of watchers) {
      void this.#send(name, { ...counts, watches: true });
    }
  }

  #activeWatchers(): readonly string[] {
    const { clock, watchers } = this.#options;
    const termAgeMs = clock.monotonic() - this.#termStartMs;
    return termAgeMs < WATCH_DELAY_MS ? [] : watchers();
  }

  /**
   * Counts the waiting jobs. While this process cannot tell, the latest counts
   * of the former leader are sent, marked as such: instances of an older build
   * ignore the mark.
   */
  #countWaiting(): Pick<Heartbeat, "waiting" | "waitingKnown"> {
    const { ownCounts, waitingCounts } = this.#options;
    const counts = ownCounts();
    if (counts !== undefined) waitingCounts.record(counts);
    return {
      waiting: [...waitingCounts.latest ?? []],
      waitingKnown: counts !== undefined,
    };
  }

  /** Sends a heartbeat; `true` if the member replied and has seen no later leader. */
  async #send(
    name: string,
    content: Pick<Heartbeat, "waiting" | "waitingKnown" | "watches">,
  ): Promise<boolean> {
    const { peers, set, self, boot, membership } = this.#options;
    const term = this.#options.term();
    if (term === undefined) return false;
    const result = await peers.call(name, heartbeatCall, {
      params: {
        holder: self,
        boot,
        fence: term.fence,
        revision: term.revision,
        setVersion: set.version,
        ...content,
        membersVersion: membership.version,
        members: this.#memberVersions.get(name) === membership.version
          ? null
          : [...membership.members, self],
      },
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
    });
    if (result.isErr()) {
      this.#memberVersions.delete(name);
      membership.recordMissingReply(name);
      return false;
    }
    const reply = result.value;
    membership.recordReply(name, reply);
    this.#memberVersions.set(name, reply.membersVersion);
    if (reply.setVersion > set.version) {
      this.#options.onNewerSet(name, reply.setVersion);
    }
    if (reply.fence <= term.fence) return true;
    this.#options.onLaterLeader();
    return false;
  }
}
