/**
 * Which instance holds the cell.
 *
 * The hold is a record in the store that is taken by a conditional write, on
 * suspicion alone: the write also renews the lanes of the job log, which
 * stops every write of the former holder, and raises the fence, which stops
 * its orders at every worker that the new one reaches.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { Write } from "../ports/store.ts";
import { HOLD_LIMIT_MS } from "./cell.ts";
import {
  aliveKey,
  type CellRecord,
  decodeRecord,
  type Member,
  recordKey,
} from "./cell_record.ts";
import { Confirmation } from "./confirmation.ts";
import { Doubt } from "./doubt.ts";
import { laneKey, type LaneRecord, LANES } from "./job_log.ts";
import type { CellStore } from "./ports.ts";
import { helloCall, statusCall, yieldCall } from "./protocol.ts";
import { Roster } from "./roster.ts";
import type { SetInForce } from "./set_in_force.ts";

/** The holder tells where it stands this often at least, milliseconds. */
const STATUS_EVERY_MS = 150;
/** The same for each member, milliseconds: it bounds the holder's cost with many. */
const STATUS_EVERY_MEMBER_MS = 8;
/** Longest wait for a reply to that, milliseconds. */
const STATUS_TIMEOUT_MS = 700;
/** Statuses of the holder that must fail to come before others try to take the cell. */
const MISSED_STATUSES = 3;
/** Time that a status may be late, milliseconds. */
const LATE_STATUS_MS = 80;
/** Silence of the holder that tells enough after the link to it broke, milliseconds: a redial. */
const BROKEN_LINK_MS = 220;
/** Silence after the start of a process within which a holder makes itself known, milliseconds. */
const FIRST_SILENCE_MS = 700;
/** Each further candidate waits so much longer, milliseconds: a takeover's write and its news. */
const RANK_MS = 100;
/** Pause after a failed try, milliseconds. */
const AGAIN_MS = 300;
/** State is looked at this often, milliseconds. */
const TICK_MS = 50;
/** A hold that was not confirmed for so long is confirmed by a write, milliseconds. */
const CONFIRM_AFTER_MS = 700;
/** Members are read from the store this often by the holder, milliseconds. */
const MEMBERS_EVERY_MS = 5_000;
/** Longest wait for a successor, milliseconds. */
const YIELD_TIMEOUT_MS = 1_500;
/** Longest wait for a greeting's answer, milliseconds. */
const HELLO_TIMEOUT_MS = 500;

/** A hold on the cell. */
export interface Hold {
  readonly fence: number;
  /** Revision at which it was written. */
  readonly revision: number;
}

/** What becomes of the cell in this process. */
export interface HoldListener {
  /** The hold is this process's. */
  gained(hold: Hold): void;
  /** The hold is another's now. */
  lost(fence: number, why: string): void;
  /** Accepted jobs that have not begun, told to all members. */
  waiting(): readonly (readonly [string, number])[];
}

/** What the leadership needs. */
export interface LeadershipOptions {
  readonly cell: string;
  readonly self: Member;
  /** Unique to this start of the process. */
  readonly boot: string;
  readonly store: CellStore;
  /** Whether the store answers this process itself. */
  readonly reachesStore: () => boolean;
  readonly peers: Peers;
  /** Opens links to these instances and drops others. */
  readonly link: (members: readonly Member[]) => void;
  readonly set: SetInForce;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly listener: HoldListener;
}

interface Known {
  readonly record: CellRecord;
  readonly revision: number;
}

/** Follows the holder, and takes the cell when it is silent. */
export class Leadership {
  readonly #options: LeadershipOptions;
  readonly #roster: Roster;
  readonly #confirmation: Confirmation;
  readonly #doubt: Doubt;
  #known: Known | undefined;
  #holding: Hold | undefined;
  #heardMs: number;
  #linkLost = false;
  /** Whether the holder itself was heard, not only of. */
  #hears = false;
  #trying = false;
  #retryAtMs = 0;
  #waiting: ReadonlyMap<string, number> = new Map();
  #waitingMs = 0;
  #leaving = false;
  #changed: (() => void)[] = [];

  constructor(options: LeadershipOptions) {
    this.#options = options;
    this.#heardMs = options.clock.monotonic();
    this.#roster = new Roster(options);
    this.#confirmation = new Confirmation(options.clock);
    this.#doubt = new Doubt(options);
  }

  /** The holder, if one is known and this process is not it. */
  get holder(): Member | undefined {
    if (this.#holding !== undefined || this.#known === undefined) {
      return undefined;
    }
    const { name, address } = this.#known.record;
    return { name, address };
  }

  /** Milliseconds since the holder was heard of. */
  get silenceMs(): number {
    return this.#options.clock.monotonic() - this.#heardMs;
  }

  /** Resolves when somebody else becomes the holder. */
  changed(): Promise<void> {
    return new Promise((resolve) => this.#changed.push(resolve));
  }

  /** Highest fence that is known. */
  get fence(): number {
    return this.#known?.record.fence ?? 0;
  }

  /** Instances that answered lately, for the holder; the holder, for the others. */
  reachable(): readonly string[] {
    if (this.#holding === undefined) {
      return this.holder === undefined ? [] : [this.holder.name];
    }
    return this.#roster.reachable();
  }

  /** Instances through which the store can be reached. */
  relays(): readonly string[] {
    if (this.#holding === undefined) return this.reachable();
    return this.#roster.reachingStore();
  }

  /** Waiting jobs by queue as the holder told them, and the age of that. */
  waitingNews(): {
    readonly counts: ReadonlyMap<string, number>;
    readonly ageMs: number;
  } {
    const ageMs = this.#options.clock.monotonic() - this.#waitingMs;
    return { counts: this.#waiting, ageMs };
  }

  /** Whether the hold was confirmed lately: only then orders are given. */
  holds(): boolean {
    if (this.#holding === undefined) return false;
    const { ageMs, wasSuspended } = this.#confirmation;
    return ageMs < HOLD_LIMIT_MS && !wasSuspended;
  }

  /** The store has taken a write of this holder that was sent at `sentMs`. */
  confirmed(sentMs: number): void {
    this.#confirmation.confirm(sentMs);
  }

  /** Somebody else holds the cell, by a worker or by the store. */
  deposed(why: string): void {
    if (this.#holding === undefined) return;
    const { fence } = this.#holding;
    this.#options.log.warn("hold.lost", { fence, reason: why });
    this.#holding = undefined;
    this.#heardMs = this.#options.clock.monotonic();
    this.#options.listener.lost(fence, why);
    void this.#readRecord();
  }

  /** Takes part until the process ends. */
  async run(): Promise<void> {
    this.#serve();
    const { clock } = this.#options;
    await this.#roster.register();
    await this.#readRecord();
    void this.#statusLoop();
    for (;;) {
      await sleep(clock, TICK_MS);
      if (this.#holding !== undefined) this.#watchHold();
      else if (this.#isSuspicious()) await this.#take({ asked: false });
    }
  }

  /** Hands the cell to another instance; `false` if none took it. */
  async yield(): Promise<boolean> {
    this.#leaving = true;
    const hold = this.#holding;
    if (hold === undefined) return true;
    for (const name of this.#ranked()) {
      const answer = await this.#options.peers.call(name, yieldCall, {
        params: { fence: hold.fence },
        timeoutMs: YIELD_TIMEOUT_MS,
      });
      const taken = answer.unwrapOr(false);
      this.#options.log.info("hold.yielded", {
        fence: hold.fence,
        to: name,
        taken,
      });
      if (taken) return true;
    }
    return false;
  }

  #serve(): void {
    const { peers, boot, set, reachesStore } = this.#options;
    peers.serve(statusCall, (status, from) => {
      const record: CellRecord = {
        ...status.holder,
        boot: status.boot,
        fence: status.fence,
      };
      if (status.fence >= this.fence) {
        this.#note({ record, revision: status.revision });
        this.#heard(status.waiting, status.members);
        if (status.setVersion > set.version) this.#wantSet(from);
      }
      return {
        fence: this.fence,
        setVersion: set.version,
        reachesStore: reachesStore(),
      };
    });
    peers.serve(helloCall, (member) => {
      if (this.#holding !== undefined) this.#roster.admit(member);
      const holds = this.#holding !== undefined;
      return {
        boot,
        fence: this.fence,
        holds,
        hearsHolder: holds ||
          this.#hears && this.silenceMs < this.#silenceLimitMs(),
      };
    });
    peers.serve(yieldCall, async ({ fence }) => {
      if (this.#leaving || fence < this.fence) return false;
      await this.#take({ asked: true });
      return this.#holding !== undefined;
    });
    peers.onLost((peer) => {
      if (peer === this.holder?.name) this.#linkLost = true;
    });
  }

  /** Set by the process: fetches the set from a peer. */
  onSetWanted: (peer: string) => void = () => {};

  #wantSet(peer: string): void {
    this.onSetWanted(peer);
  }

  async #readRecord(): Promise<void> {
    const { store, cell, log, self } = this.#options;
    const result = await store.get(recordKey(cell));
    if (result.isErr()) {
      log.warn("hold.unread", { reason: result.error.message });
      return;
    }
    const entry = result.value;
    const record = entry && decodeRecord(entry);
    if (entry === undefined || record === undefined) return;
    this.#note({ record, revision: entry.revision });
    if (record.name === self.name || this.#holding !== undefined) return;
    void this.#greet(record);
  }

  /** Tells the holder of this instance, and finds out whether it still is the holder. */
  async #greet(record: CellRecord): Promise<void> {
    const { peers, self } = this.#options;
    const answer = await peers.call(record.name, helloCall, {
      params: self,
      timeoutMs: HELLO_TIMEOUT_MS,
    });
    if (answer.isErr()) return;
    if (answer.value.boot === record.boot && answer.value.holds) {
      this.#hears = true;
      this.#heardMs = this.#options.clock.monotonic();
    } else if (this.#known?.record === record) {
      // Its process has started anew and knows nothing of the hold.
      this.#heardMs = Math.min(this.#heardMs, this.#silentSince());
    }
  }

  #silentSince(): number {
    return this.#options.clock.monotonic() - this.#silenceLimitMs();
  }

  #statusEveryMs(): number {
    const members = this.#roster.members.length + 1;
    return Math.max(STATUS_EVERY_MS, STATUS_EVERY_MEMBER_MS * members);
  }

  #silenceLimitMs(): number {
    if (this.#roster.members.length === 0) return FIRST_SILENCE_MS;
    return MISSED_STATUSES * this.#statusEveryMs() + LATE_STATUS_MS;
  }

  #note(known: Known): void {
    const before = this.#known;
    if (before !== undefined && known.record.fence < before.record.fence) {
      return;
    }
    this.#known = known;
    if (known.record.fence === before?.record.fence) return;
    const { self, log, clock, boot } = this.#options;
    const mine = known.record.name === self.name && known.record.boot === boot;
    if (mine) return;
    log.info("hold.noted", {
      holder: known.record.name,
      fence: known.record.fence,
      revision: known.revision,
    });
    this.#linkLost = false;
    this.#hears = false;
    this.#heardMs = clock.monotonic();
    for (const resolve of this.#changed.splice(0)) resolve();
    if (this.#holding !== undefined) {
      this.deposed(`${known.record.name} took the cell`);
    }
    if (known.record.name !== self.name) this.#options.link([known.record]);
  }

  #heard(
    waiting: readonly (readonly [string, number])[],
    members: readonly Member[],
  ): void {
    const now = this.#options.clock.monotonic();
    this.#heardMs = now;
    this.#hears = true;
    this.#linkLost = false;
    this.#waiting = new Map(waiting);
    this.#waitingMs = now;
    this.#roster.replace(members);
  }

  #isSuspicious(): boolean {
    if (this.#leaving || this.#trying) return false;
    const { clock, self } = this.#options;
    if (clock.monotonic() < this.#retryAtMs) return false;
    const delay = this.#ranked().indexOf(self.name) * RANK_MS;
    const own = this.#known?.record.name === self.name;
    if (own) return true;
    const limit = this.#linkLost ? BROKEN_LINK_MS : this.#silenceLimitMs();
    return this.silenceMs > limit + Math.max(0, delay);
  }

  /** Candidates in the order in which they try; it changes with each holder. */
  #ranked(): readonly string[] {
    const { self } = this.#options;
    const names = new Set([
      self.name,
      ...this.#roster.members.map((member) => member.name),
    ]);
    names.delete(this.#known?.record.name ?? "");
    if (this.#holding !== undefined) names.delete(self.name);
    const sorted = [...names].sort();
    const turn = this.fence % Math.max(1, sorted.length);
    return [...sorted.slice(turn), ...sorted.slice(0, turn)];
  }

  async #take({ asked }: { readonly asked: boolean }): Promise<void> {
    if (this.#trying || this.#holding !== undefined) return;
    this.#trying = true;
    try {
      const own = this.#known?.record.name === this.#options.self.name;
      if (asked || own || await this.#isSilentForAll()) await this.#tryTake();
    } finally {
      this.#trying = false;
      const { clock, random } = this.#options;
      this.#retryAtMs = clock.monotonic() + AGAIN_MS * (0.5 + random());
    }
  }

  /** Whether the other instances miss the holder too. */
  async #isSilentForAll(): Promise<boolean> {
    const { self, link } = this.#options;
    const holder = this.#known?.record;
    if (holder === undefined) return true;
    const others = this.#roster.members.filter((member) =>
      member.name !== self.name && member.name !== holder.name
    );
    link([holder, ...others]);
    const { silenceMs } = this;
    const verdict = await this.#doubt.settle(holder, others, { silenceMs });
    switch (verdict) {
      case "silent":
        return true;
      case "heard":
        // It may have dropped this instance.
        void this.#greet(holder);
        return false;
      case "replaced":
        await this.#readRecord();
        return false;
    }
  }

  async #tryTake(): Promise<void> {
    const { store, cell, self, boot, log, clock } = this.#options;
    if (this.#known === undefined) {
      await this.#readRecord();
      // Somebody was quicker: its news is on its way.
      if (this.#known !== undefined) return;
    }
    const known = this.#known as Known | undefined;
    const fence = this.fence + 1;
    const record: CellRecord = { ...self, boot, fence };
    const startedMs = clock.monotonic();
    const condition = {
      key: recordKey(cell),
      revision: known?.revision ?? 0,
    };
    const result = await store.commit([condition], takeover(cell, record));
    if (result.isErr()) {
      log.warn("hold.untaken", { fence, reason: result.error.message });
      return;
    }
    if (result.value.type === "committed") {
      return this.#gain({ record, revision: result.value.revision });
    }
    const entry = result.value.entries?.find((one) =>
      one.key === condition.key
    );
    const current = entry && decodeRecord(entry);
    if (entry === undefined || current === undefined) {
      return void await this.#readRecord();
    }
    if (current.boot === boot && current.fence === fence) {
      // An earlier try got through and its answer was lost.
      return this.#gain({ record: current, revision: entry.revision });
    }
    log.info("hold.raced", {
      holder: current.name,
      fence: current.fence,
      tookMs: Math.round(clock.monotonic() - startedMs),
    });
    this.#note({ record: current, revision: entry.revision });
    this.#heardMs = clock.monotonic();
  }

  #gain(known: Known): void {
    const { log, listener, clock } = this.#options;
    this.#known = known;
    for (const resolve of this.#changed.splice(0)) resolve();
    const { fence } = known.record;
    const hold = { fence, revision: known.revision };
    this.#holding = hold;
    this.#confirmation.confirm(clock.monotonic());
    log.info("hold.gained", {
      fence,
      revision: known.revision,
      silenceMs: Math.round(this.silenceMs),
    });
    this.#roster.open();
    void this.#tellAll();
    listener.gained(hold);
  }

  #watchHold(): void {
    const { ageMs, wasSuspended } = this.#confirmation;
    if (ageMs < CONFIRM_AFTER_MS && !wasSuspended) return;
    if (this.#trying) return;
    this.#trying = true;
    void this.#confirm().finally(() => this.#trying = false);
  }

  /** Writes a sign of life, on condition that the hold is still this one's. */
  async #confirm(): Promise<void> {
    const { clock, store, cell, log } = this.#options;
    const hold = this.#holding;
    const known = this.#known;
    if (hold === undefined || known === undefined) return;
    const sentMs = clock.monotonic();
    const skewMs = this.#confirmation.skewMs();
    const key = recordKey(cell);
    const result = await store.commit([{ key, revision: hold.revision }], [{
      type: "put",
      key: aliveKey(cell),
      value: String(hold.fence),
    }]);
    if (result.isErr()) {
      log.warn("hold.unconfirmed", {
        fence: hold.fence,
        ageMs: Math.round(this.#confirmation.ageMs),
        failure: result.error.type,
        reason: result.error.message,
      });
      return;
    }
    if (result.value.type === "committed") {
      return this.#confirmation.confirm(sentMs, skewMs);
    }
    const entry = result.value.entries?.find((one) => one.key === key);
    const record = entry && decodeRecord(entry);
    if (entry === undefined || record === undefined) return;
    this.#note({ record, revision: entry.revision });
  }

  async #statusLoop(): Promise<void> {
    let membersAtMs = this.#options.clock.monotonic();
    for (;;) {
      await sleep(this.#options.clock, this.#statusEveryMs());
      if (this.#holding === undefined) continue;
      void this.#tellAll();
      const now = this.#options.clock.monotonic();
      if (now - membersAtMs < MEMBERS_EVERY_MS) continue;
      membersAtMs = now;
      void this.#roster.read();
    }
  }

  async #tellAll(): Promise<void> {
    const sentMs = this.#options.clock.monotonic();
    const names = this.#roster.members.map((member) => member.name);
    const heard = await Promise.all(names.map((name) => this.#tell(name)));
    if (this.#holding === undefined) return;
    // Most members know of no other holder, whatever the store does.
    const agreeing = heard.filter((agrees) => agrees).length;
    if (names.length === 0 || 2 * agreeing <= names.length) return;
    if (!this.#confirmation.wasSuspended) this.#confirmation.confirm(sentMs);
  }

  async #tell(name: string): Promise<boolean> {
    const { peers, set, self, boot, listener } = this.#options;
    const hold = this.#holding;
    if (hold === undefined) return false;
    const answer = await peers.call(name, statusCall, {
      params: {
        holder: self,
        boot,
        fence: hold.fence,
        revision: hold.revision,
        setVersion: set.version,
        waiting: listener.waiting().map((
          [queue, count],
        ): [string, number] => [queue, count]),
        members: [...this.#roster.members, self],
      },
      timeoutMs: STATUS_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      this.#roster.unreplied(name);
      return false;
    }
    const reply = answer.value;
    this.#roster.replied(name, reply);
    if (reply.setVersion > set.version) this.#wantSet(name);
    if (reply.fence > hold.fence) {
      void this.#readRecord();
      return false;
    }
    return true;
  }
}

/** The writes that make an instance the holder. */
function takeover(cell: string, record: CellRecord): readonly Write[] {
  const lane: LaneRecord = { fence: record.fence, sequence: 0 };
  const lanes = Array.from({ length: LANES }, (_, index): Write => ({
    type: "put",
    key: laneKey(cell, index),
    value: JSON.stringify(lane),
  }));
  return [
    { type: "put", key: recordKey(cell), value: JSON.stringify(record) },
    ...lanes,
  ];
}
