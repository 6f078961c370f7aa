/**
 * The instances that take part, as the holder keeps them.
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
  MEMBERS_PREFIX,
} from "./cell_record.ts";
import type { CellStore } from "./ports.ts";

/** A member that has not replied for so long is dropped by the holder, milliseconds. */
const MEMBER_SILENCE_MS = 20_000;
/** A member whose last reply is not older can be reached, milliseconds. */
const REACHABLE_MS = 1_400;
/** A write that failed is tried again after this, milliseconds. */
const AGAIN_MS = 300;

/** What the roster needs. */
export interface RosterOptions {
  readonly self: Member;
  readonly store: CellStore;
  /** Opens links to these instances and drops others. */
  readonly link: (members: readonly Member[]) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Which version of the members was told, and by which process. */
export interface MembersTold {
  readonly boot: string;
  readonly membersVersion: number;
}

/** Members without this instance itself. */
export class Roster {
  readonly #options: RosterOptions;
  readonly #members = new Map<string, Member>();
  readonly #repliedMs = new Map<string, number>();
  readonly #reaching = new Set<string>();
  #version = 1;
  #told: MembersTold | undefined;

  constructor(options: RosterOptions) {
    this.#options = options;
  }

  /** The other members. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Grows with each change of the members. */
  get version(): number {
    return this.#version;
  }

  /** Version of the members that a holder's process has told; 0 if it has told none. */
  versionFrom(boot: string): number {
    return this.#told?.boot === boot ? this.#told.membersVersion : 0;
  }

  /** Members that replied lately, the strongest first. */
  reachable(): readonly string[] {
    const since = this.#options.clock.monotonic() - REACHABLE_MS;
    return [...this.#repliedMs]
      .filter(([, atMs]) => atMs >= since)
      .map(([name]) => name)
      .sort((a, b) => this.#coresOf(b) - this.#coresOf(a) || (a < b ? -1 : 1));
  }

  /** Those of them that the store answers. */
  reachingStore(): readonly string[] {
    return this.reachable().filter((name) => this.#reaching.has(name));
  }

  /** Takes the members over from the holder's news. */
  replace(members: readonly Member[], told: MembersTold): void {
    this.#told = told;
    this.#version++;
    this.#members.clear();
    for (const member of members) this.#remember(member);
  }

  /** Starts to keep the members: all are taken as reachable first. */
  open(): void {
    const now = this.#options.clock.monotonic();
    this.#repliedMs.clear();
    for (const name of this.#members.keys()) this.#repliedMs.set(name, now);
    this.#options.link(this.members);
    void this.read();
  }

  /** Writes this instance's entry. */
  async register(): Promise<void> {
    const { self, clock, log } = this.#options;
    const result = await this.#options.store.commit([], [entryOf(self)]);
    if (result.isOk()) return;
    log.warn("member.unregistered", { reason: result.error.message });
    clock.after(AGAIN_MS, () => void this.register());
  }

  /** Learns of the members that the store knows, without calling them. */
  async learn(): Promise<void> {
    for (const member of await this.#stored()) this.#remember(member);
  }

  /** Adds the members that the store knows. */
  async read(): Promise<void> {
    for (const member of await this.#stored()) {
      if (!this.#members.has(member.name)) this.#add(member);
    }
  }

  /** Adds a member that has made itself known. */
  admit(member: Member): void {
    if (this.#add(member)) void this.#write(entryOf(member));
  }

  /** Takes note of a member's reply. */
  replied(name: string, { reachesStore }: { readonly reachesStore: boolean }) {
    this.#repliedMs.set(name, this.#options.clock.monotonic());
    if (reachesStore) this.#reaching.add(name);
    else this.#reaching.delete(name);
  }

  /** Takes note of a missing reply; drops a member that has been silent for long. */
  unreplied(name: string): void {
    const { clock, log } = this.#options;
    const silentMs = clock.monotonic() - (this.#repliedMs.get(name) ?? 0);
    if (silentMs < MEMBER_SILENCE_MS || !this.#members.has(name)) return;
    log.info("member.dropped", {
      member: name,
      silentMs: Math.round(silentMs),
    });
    this.#version++;
    this.#members.delete(name);
    this.#repliedMs.delete(name);
    this.#options.link(this.members);
    void this.#write({ type: "delete", key: MEMBERS_PREFIX + name });
  }

  #coresOf(name: string): number {
    return this.#members.get(name)?.cores ?? 0;
  }

  async #stored(): Promise<readonly Member[]> {
    const result = await this.#options.store.list(MEMBERS_PREFIX);
    if (result.isOk()) {
      return result.value.entries.flatMap((entry) => decodeMember(entry) ?? []);
    }
    this.#options.log.warn("member.unread", { reason: result.error.message });
    return [];
  }

  /** `false` if the member was known at that address. */
  #add(member: Member): boolean {
    const { self, clock, log } = this.#options;
    if (member.name === self.name) return false;
    this.#repliedMs.set(member.name, clock.monotonic());
    const known = this.#members.get(member.name);
    if (known?.address === member.address) {
      if (known.startedMs !== member.startedMs) this.#remember(member);
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

  #remember(member: Member): void {
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

function entryOf(member: Member): Write {
  return {
    type: "put",
    key: MEMBERS_PREFIX + member.name,
    value: encodeMember(member),
  };
}
