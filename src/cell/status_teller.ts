/**
 * The holder's news to all members, which also confirm its hold by their
 * replies. A few of them watch it and are told more often, so that a silent
 * holder is missed as soon with hundreds of members as with a few.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { Hold, Member } from "./cell_record.ts";
import type { Confirmation } from "./confirmation.ts";
import { STATUS_EVERY_MS, statusEveryMs } from "./holder_news.ts";
import { statusCall } from "./protocol.ts";
import type { Roster } from "./roster.ts";
import type { SetInForce } from "./set_in_force.ts";

/** Longest wait for a reply, milliseconds. */
const STATUS_TIMEOUT_MS = 700;
/** A new holder is watched after this, milliseconds: it meets all workers and members first. */
const WATCHED_AFTER_MS = 2_000;
/** Members are read from the store this often by the holder, milliseconds. */
const MEMBERS_EVERY_MS = 5_000;

/** What the teller needs. */
export interface StatusTellerOptions {
  readonly self: Member;
  readonly boot: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly set: SetInForce;
  readonly roster: Roster;
  readonly confirmation: Confirmation;
  /** The hold, if this process has it. */
  readonly hold: () => Hold | undefined;
  /** Members that watch the holder. */
  readonly watchers: () => readonly string[];
  /** Accepted jobs by queue that have not begun. */
  readonly waiting: () => readonly (readonly [string, number])[];
  /** A member knows of a later holder. */
  readonly replaced: () => void;
  /** A member has a newer set. */
  readonly setWanted: (member: string, version: number) => void;
}

/** Tells members where the holder stands, while there is a hold. */
export class StatusTeller {
  readonly #options: StatusTellerOptions;
  /** Version of the members that each instance has. */
  readonly #toldMembers = new Map<string, number>();
  /** When all members were last told, monotonic milliseconds. */
  #toldAllMs = -Infinity;
  /** When the hold was gained, monotonic milliseconds. */
  #gainedMs = -Infinity;

  constructor(options: StatusTellerOptions) {
    this.#options = options;
  }

  /** Tells until the process ends. */
  async run(): Promise<void> {
    const { clock, hold, roster } = this.#options;
    let membersAtMs = clock.monotonic();
    for (;;) {
      await sleep(clock, STATUS_EVERY_MS);
      if (hold() === undefined) continue;
      const everyMs = statusEveryMs(roster.members.length);
      if (clock.monotonic() - this.#toldAllMs >= everyMs) void this.tellAll();
      else this.#tellWatchers();
      if (clock.monotonic() - membersAtMs < MEMBERS_EVERY_MS) continue;
      membersAtMs = clock.monotonic();
      void roster.read();
    }
  }

  /** The hold is this process's from now on. */
  async gained(): Promise<void> {
    this.#gainedMs = this.#options.clock.monotonic();
    await this.tellAll();
  }

  /** Tells all members once. */
  async tellAll(): Promise<void> {
    const { clock, hold, roster, confirmation } = this.#options;
    const sentMs = clock.monotonic();
    this.#toldAllMs = sentMs;
    const names = roster.members.map((member) => member.name);
    const watching = new Set(this.#watchers());
    const heard = await Promise.all(
      names.map((name) => this.#tell(name, watching.has(name))),
    );
    if (hold() === undefined) return;
    // Most members know of no other holder, whatever the store does.
    const agreeing = heard.filter((agrees) => agrees).length;
    if (names.length === 0 || 2 * agreeing <= names.length) return;
    if (!confirmation.wasSuspended) confirmation.confirm(sentMs);
  }

  #tellWatchers(): void {
    for (const name of this.#watchers()) void this.#tell(name, true);
  }

  #watchers(): readonly string[] {
    const { clock, watchers } = this.#options;
    const heldMs = clock.monotonic() - this.#gainedMs;
    return heldMs < WATCHED_AFTER_MS ? [] : watchers();
  }

  async #tell(name: string, watches: boolean): Promise<boolean> {
    const { peers, set, self, boot, roster, waiting } = this.#options;
    const hold = this.#options.hold();
    if (hold === undefined) return false;
    const answer = await peers.call(name, statusCall, {
      params: {
        holder: self,
        boot,
        fence: hold.fence,
        revision: hold.revision,
        setVersion: set.version,
        watches,
        waiting: waiting().map(([queue, count]): [string, number] => [
          queue,
          count,
        ]),
        membersVersion: roster.version,
        members: this.#toldMembers.get(name) === roster.version
          ? null
          : [...roster.members, self],
      },
      timeoutMs: STATUS_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      this.#toldMembers.delete(name);
      roster.unreplied(name);
      return false;
    }
    const reply = answer.value;
    roster.replied(name, reply);
    this.#toldMembers.set(name, reply.membersVersion);
    if (reply.setVersion > set.version) {
      this.#options.setWanted(name, reply.setVersion);
    }
    if (reply.fence <= hold.fence) return true;
    this.#options.replaced();
    return false;
  }
}
