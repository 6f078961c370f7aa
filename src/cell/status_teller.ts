/**
 * The holder's news to all members, which also confirm its hold by their
 * replies.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { Hold, Member } from "./cell_record.ts";
import type { Confirmation } from "./confirmation.ts";
import { statusCall } from "./protocol.ts";
import type { Roster } from "./roster.ts";
import type { SetInForce } from "./set_in_force.ts";

/** Longest wait for a reply, milliseconds. */
const STATUS_TIMEOUT_MS = 700;
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
  /** Time between two statuses, milliseconds. */
  readonly everyMs: () => number;
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

  constructor(options: StatusTellerOptions) {
    this.#options = options;
  }

  /** Tells until the process ends. */
  async run(): Promise<void> {
    const { clock, everyMs, hold, roster } = this.#options;
    let membersAtMs = clock.monotonic();
    for (;;) {
      await sleep(clock, everyMs());
      if (hold() === undefined) continue;
      void this.tellAll();
      if (clock.monotonic() - membersAtMs < MEMBERS_EVERY_MS) continue;
      membersAtMs = clock.monotonic();
      void roster.read();
    }
  }

  /** Tells all members once. */
  async tellAll(): Promise<void> {
    const { clock, hold, roster, confirmation } = this.#options;
    const sentMs = clock.monotonic();
    const names = roster.members.map((member) => member.name);
    const heard = await Promise.all(names.map((name) => this.#tell(name)));
    if (hold() === undefined) return;
    // Most members know of no other holder, whatever the store does.
    const agreeing = heard.filter((agrees) => agrees).length;
    if (names.length === 0 || 2 * agreeing <= names.length) return;
    if (!confirmation.wasSuspended) confirmation.confirm(sentMs);
  }

  async #tell(name: string): Promise<boolean> {
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
