/**
 * The instances that take part in the cell. The leader maintains the list and
 * sends it to the others with its heartbeats.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Write } from "../ports/store.ts";
import {
  decodeMember,
  encodeMember,
  type Member,
  MEMBER_KEY_PREFIX,
} from "./leader_record.ts";
import type { CellStore } from "./ports.ts";

/** Time without a reply after which the leader removes a member, milliseconds. */
const MEMBER_TIMEOUT_MS = 20_000;
/** Age of a member's last reply up to which it counts as reachable, milliseconds. */
const REACHABLE_TIMEOUT_MS = 1_400;
/** Delay before a failed registration is retried, milliseconds. */
const REGISTER_RETRY_DELAY_MS = 300;

/** Dependencies of {@linkcode Membership}. */
export interface MembershipOptions {
  readonly self: Member;
  readonly store: CellStore;
  /** Opens connections to these instances and closes all others. */
  readonly link: (members: readonly Member[]) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Version of a member list, unique together with the process start that sent it. */
export interface MembersVersion {
  readonly boot: string;
  readonly membersVersion: number;
}

/** The members besides this instance. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #members = new Map<string, Member>();
  /** Time of each member's last reply, monotonic milliseconds. */
  readonly #lastReplyMs = new Map<string, number>();
  /** Members that reported that the store answers them. */
  readonly #withStoreAccess = new Set<string>();
  #version = 1;
  /** Version of the list last received from a leader. */
  #receivedVersion: MembersVersion | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** The other members, in no particular order. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Version of the list in this process; increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Version of the list last received, if the process start `boot` sent it; otherwise 0. */
  receivedVersionFrom(boot: string): number {
    return this.#receivedVersion?.boot === boot
      ? this.#receivedVersion.membersVersion
      : 0;
  }

  /** Names of the members that replied recently, most cores first. */
  reachable(): readonly string[] {
    const since = this.#options.clock.monotonic() - REACHABLE_TIMEOUT_MS;
    return [...this.#lastReplyMs]
      .filter(([, atMs]) => atMs >= since)
      .map(([name]) => name)
      .sort((a, b) => this.#coresOf(b) - this.#coresOf(a) || (a < b ? -1 : 1));
  }

  /** Names of the reachable members that the store answers, most cores first. */
  withStoreAccess(): readonly string[] {
    return this.reachable().filter((name) => this.#withStoreAccess.has(name));
  }

  /** Replaces the list by the one in a leader's heartbeat. */
  replaceAll(members: readonly Member[], version: MembersVersion): void {
    this.#receivedVersion = version;
    this.#version++;
    this.#members.clear();
    for (const member of members) this.#set(member);
  }

  /** Starts to maintain the list as leader; all members count as reachable at first. */
  startTracking(): void {
    const now = this.#options.clock.monotonic();
    this.#lastReplyMs.clear();
    for (const name of this.#members.keys()) this.#lastReplyMs.set(name, now);
    this.#options.link(this.members);
    void this.addStored();
  }

  /** Writes this instance's entry to the store; retries in the background until that succeeds. */
  async register(): Promise<void> {
    const { self, clock, log } = this.#options;
    const result = await this.#options.store.commit([], [memberWrite(self)]);
    if (result.isOk()) return;
    log.warn("member.unregistered", { reason: result.error.message });
    clock.after(REGISTER_RETRY_DELAY_MS, () => void this.register());
  }

  /** Loads the members from the store, without opening connections to them. */
  async loadStored(): Promise<void> {
    for (const member of await this.#readStored()) this.#set(member);
  }

  /** Adds members that are in the store but not in the list, and opens connections to them. */
  async addStored(): Promise<void> {
    for (const member of await this.#readStored()) {
      if (!this.#members.has(member.name)) this.#add(member);
    }
  }

  /** Adds a member that has sent a hello, and writes its entry to the store if it is new or has another address. */
  admit(member: Member): void {
    if (this.#add(member)) void this.#write(memberWrite(member));
  }

  /** Records a member's reply to a heartbeat. */
  recordReply(
    name: string,
    { reachesStore }: { readonly reachesStore: boolean },
  ) {
    this.#lastReplyMs.set(name, this.#options.clock.monotonic());
    if (reachesStore) this.#withStoreAccess.add(name);
    else this.#withStoreAccess.delete(name);
  }

  /** Records that a member did not reply to a heartbeat; removes it once its last reply is too old. */
  recordMissingReply(name: string): void {
    const { clock, log } = this.#options;
    const silentMs = clock.monotonic() - (this.#lastReplyMs.get(name) ?? 0);
    if (silentMs < MEMBER_TIMEOUT_MS || !this.#members.has(name)) return;
    log.info("member.dropped", {
      member: name,
      silentMs: Math.round(silentMs),
    });
    this.#version++;
    this.#members.delete(name);
    this.#lastReplyMs.delete(name);
    this.#options.link(this.members);
    void this.#write({ type: "delete", key: MEMBER_KEY_PREFIX + name });
  }

  #coresOf(name: string): number {
    return this.#members.get(name)?.cores ?? 0;
  }

  async #readStored(): Promise<readonly Member[]> {
    const result = await this.#options.store.list(MEMBER_KEY_PREFIX);
    if (result.isOk()) {
      return result.value.entries.flatMap((entry) => decodeMember(entry) ?? []);
    }
    this.#options.log.warn("member.unread", { reason: result.error.message });
    return [];
  }

  /** Adds a member or updates its address; `false` if it was listed with that address. */
  #add(member: Member): boolean {
    const { self, clock, log } = this.#options;
    if (member.name === self.name) return false;
    this.#lastReplyMs.set(member.name, clock.monotonic());
    const listed = this.#members.get(member.name);
    if (listed?.address === member.address) {
      if (listed.startedMs !== member.startedMs) this.#set(member);
      return false;
    }
    log.info("member.joined", {
      member: member.name,
      address: member.address,
    });
    this.#version++;
    this.#members.set(member.name, member);
    this.#options.link(this.members);
    return true;
  }

  #set(member: Member): void {
    if (member.name === this.#options.self.name) return;
    this.#version++;
    this.#members.set(member.name, member);
  }

  async #write(write: Write): Promise<void> {
    const result = await this.#options.store.commit([], [write]);
    if (result.isOk()) return;
    this.#options.log.warn("member.unwritten", {
      key: write.key,
      reason: result.error.message,
    });
  }
}

function memberWrite(member: Member): Write {
  return {
    type: "put",
    key: MEMBER_KEY_PREFIX + member.name,
    value: encodeMember(member),
  };
}
