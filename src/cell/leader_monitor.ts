/**
 * Detects that the leader has failed, by the time since its last heartbeat.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Interval between heartbeats to a watcher, and the shortest interval for other members, milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 100;
/** Heartbeat interval of other members per member, milliseconds: bounds the leader's rate of calls in a large cell. */
const HEARTBEAT_INTERVAL_PER_MEMBER_MS = 4;
/** Consecutive missed heartbeats after which the leader is suspected to have failed. */
const MAX_MISSED_HEARTBEATS = 3;
/** Delay of a heartbeat that is tolerated, milliseconds. */
const MAX_HEARTBEAT_DELAY_MS = 80;
/** Time without a message from the leader after which it is suspected to have failed once the connection to it has broken, milliseconds: enough to reconnect. */
const RECONNECT_TIMEOUT_MS = 220;
/** Time without a message from the leader after which it is suspected to have failed while no members are known, milliseconds: the leader sends a starting process its first heartbeat within this time. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 700;

/** Interval between heartbeats to a member that is not a watcher, milliseconds, in a cell of `members` other instances. */
export function heartbeatIntervalMs(members: number): number {
  return Math.max(
    HEARTBEAT_INTERVAL_MS,
    HEARTBEAT_INTERVAL_PER_MEMBER_MS * (members + 1),
  );
}

/** The fields of a heartbeat that {@linkcode LeaderMonitor} uses. */
export interface HeartbeatContent {
  /** Whether the receiver is a watcher. */
  readonly watches: boolean;
}

/** Failure detector for the leader, on any other instance. */
export class LeaderMonitor {
  readonly #clock: Clock;
  readonly #memberCount: () => number;
  #lastContactMs: number;
  #hasContact = false;
  #linkLost = false;
  #isWatcher = false;

  /** `memberCount` returns the number of members besides this instance. */
  constructor(clock: Clock, memberCount: () => number) {
    this.#clock = clock;
    this.#memberCount = memberCount;
    this.#lastContactMs = clock.monotonic();
  }

  /** Milliseconds since the last contact with the leader, or since this process learned of a new leader if that was later. */
  get silenceMs(): number {
    return this.#clock.monotonic() - this.#lastContactMs;
  }

  /** Whether the current leader itself has sent a heartbeat or a reply recently. */
  get hasContact(): boolean {
    return this.#hasContact && !this.#linkLost &&
      this.silenceMs < this.#silenceTimeoutMs();
  }

  /** Whether the time without a message from the leader exceeds the silence timeout by more than `extraMs`. */
  isSilent(extraMs: number): boolean {
    const timeoutMs = this.#linkLost
      ? RECONNECT_TIMEOUT_MS
      : this.#silenceTimeoutMs();
    return this.silenceMs > timeoutMs + extraMs;
  }

  /** Whether this instance is a watcher of the current leader. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /** Records a heartbeat of the leader. */
  recordHeartbeat({ watches }: HeartbeatContent): void {
    this.#isWatcher = watches;
    this.recordResponse();
  }

  /** Records that the leader has made or answered a call. */
  recordResponse(): void {
    this.#hasContact = true;
    this.#linkLost = false;
    this.#lastContactMs = this.#clock.monotonic();
  }

  /** Records a change of leader that was learned from elsewhere; the new leader itself has not been heard yet. */
  recordNewLeader(): void {
    this.#hasContact = false;
    this.#isWatcher = false;
    this.#linkLost = false;
    this.#lastContactMs = this.#clock.monotonic();
  }

  /** Records that the connection to the leader has broken. */
  recordLinkLoss(): void {
    this.#linkLost = true;
  }

  /** Records that the leader's process has restarted and lost its term: the silence timeout has passed at once. */
  recordRestart(): void {
    const since = this.#clock.monotonic() - this.#silenceTimeoutMs();
    this.#lastContactMs = Math.min(this.#lastContactMs, since);
  }

  /** Time without a message from the leader after which it is suspected to have failed while the connection to it is intact, milliseconds. */
  #silenceTimeoutMs(): number {
    const members = this.#memberCount();
    if (members === 0) return FIRST_HEARTBEAT_TIMEOUT_MS;
    const intervalMs = this.#isWatcher
      ? HEARTBEAT_INTERVAL_MS
      : heartbeatIntervalMs(members);
    return MAX_MISSED_HEARTBEATS * intervalMs + MAX_HEARTBEAT_DELAY_MS;
  }
}
