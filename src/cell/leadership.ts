/**
 * Which instance holds the cell.
 *
 * The hold is a record in the store that is taken by a conditional write, on
 * suspicion alone: the write changes the record that every write of the former
 * holder depends on, and raises the fence, which stops its orders at every
 * worker that the new one reaches.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { HOLD_LIMIT_MS } from "./cell.ts";
import { watchersOf } from "./candidates.ts";
import type { CellRecord, Hold, Member } from "./cell_record.ts";
import { Confirmation } from "./confirmation.ts";
import { HolderNews } from "./holder_news.ts";
import { HoldWriter, type KnownRecord } from "./hold_writer.ts";
import { KnownHolder } from "./known_holder.ts";
import type { LeadershipOptions } from "./leadership_options.ts";
import { helloCall, statusCall, yieldCall } from "./protocol.ts";
import { Roster } from "./roster.ts";
import { StatusTeller } from "./status_teller.ts";
import { Succession } from "./succession.ts";
import { Takeover } from "./takeover.ts";

/** State is looked at this often, milliseconds. */
const TICK_MS = 50;
/** A hold that was not confirmed for so long is confirmed by a write, milliseconds. */
const CONFIRM_AFTER_MS = 700;

/** Follows the holder, and takes the cell when it is silent. */
export class Leadership {
  readonly #options: LeadershipOptions;
  readonly #roster: Roster;
  readonly #news: HolderNews;
  readonly #confirmation: Confirmation;
  readonly #teller: StatusTeller;
  readonly #writer: HoldWriter;
  readonly #succession: Succession;
  readonly #takeover: Takeover;
  readonly #record: KnownHolder;
  #holding: Hold | undefined;
  #leaving = false;

  constructor(options: LeadershipOptions) {
    this.#options = options;
    this.#roster = new Roster(options);
    this.#news = new HolderNews(
      options.clock,
      () => this.#roster.members.length,
    );
    this.#confirmation = new Confirmation(options.clock);
    this.#writer = new HoldWriter(options);
    this.#record = new KnownHolder({
      ...options,
      writer: this.#writer,
      news: this.#news,
      holds: () => this.#holding !== undefined,
      deposed: (why) => this.deposed(why),
    });
    this.#succession = new Succession({
      ...options,
      roster: this.#roster,
      hold: () => this.#holding,
      ranked: () => this.#takeover.ranked(),
    });
    this.#takeover = new Takeover({
      ...options,
      roster: this.#roster,
      news: this.#news,
      writer: this.#writer,
      known: () => this.#record.known,
      holds: () => this.#holding !== undefined,
      greet: (record) => void this.#record.greet(record),
      readRecord: () => this.#record.read(),
      noted: (known) => this.#record.note(known),
      gained: (known) => this.#gain(known),
    });
    this.#teller = new StatusTeller({
      ...options,
      roster: this.#roster,
      confirmation: this.#confirmation,
      hold: () => this.#holding,
      watchers: () => watchersOf(this.#takeover.ranked()),
      waiting: () => options.listener.waiting(),
      replaced: () => void this.#record.read(),
      setWanted: (peer, version) => this.onSetWanted(peer, version),
    });
  }

  /** The holder, if one is known and this process is not it. */
  get holder(): Member | undefined {
    const { known } = this.#record;
    if (this.#holding !== undefined || known === undefined) return undefined;
    const { name, address, cores } = known.record;
    return { name, address, cores };
  }

  /** Milliseconds since the holder was heard of. */
  get silenceMs(): number {
    return this.#news.silenceMs;
  }

  /** Calls `listener` when another process becomes the holder; gives a function that ends that. */
  onReplaced(listener: () => void): () => void {
    return this.#record.onReplaced(listener);
  }

  /** Highest fence that is known. */
  get fence(): number {
    return this.#record.fence;
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
    if (this.#holding !== undefined) return this.#roster.reachingStore();
    // A holder that is silent would cost a takeover the time of its answer.
    return this.#news.hears ? this.reachable() : [];
  }

  /** Waiting jobs by queue as the holder told them, and the age of that. */
  waitingNews(): {
    readonly counts: ReadonlyMap<string, number>;
    readonly ageMs: number;
  } {
    return this.#news.waiting();
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
    this.#news.heardOf();
    this.#options.listener.lost(fence, why);
    void this.#record.read();
  }

  /** Takes part until the process ends. */
  async run(): Promise<void> {
    this.#serve();
    const { clock } = this.#options;
    await this.#roster.register();
    await this.#roster.learn();
    await this.#record.read();
    void this.#teller.run();
    for (;;) {
      if (this.#holding !== undefined) this.#watchHold();
      else if (!this.#leaving && this.#takeover.isDue()) {
        await this.#takeover.attempt({ asked: false });
      }
      await sleep(clock, TICK_MS);
    }
  }

  /** Hands the cell to another instance; `false` if none took it. */
  yield(): Promise<boolean> {
    this.#leaving = true;
    return this.#succession.leave();
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
        this.#record.note({ record, revision: status.revision });
        this.#news.told(status);
        if (status.members !== null) {
          this.#roster.replace(status.members, status);
        }
        if (status.setVersion > set.version) {
          this.onSetWanted(from, status.setVersion);
        }
      }
      return {
        fence: this.fence,
        setVersion: set.version,
        reachesStore: reachesStore(),
        membersVersion: this.#roster.versionFrom(status.boot),
      };
    });
    peers.serve(helloCall, (member) => {
      if (this.#holding !== undefined) this.#roster.admit(member);
      const holds = this.#holding !== undefined;
      return {
        boot,
        fence: this.fence,
        holds,
        hearsHolder: holds || this.#news.hears,
      };
    });
    peers.serve(yieldCall, async ({ fence }) => {
      if (this.#leaving || fence < this.fence) return false;
      await this.#takeover.attempt({ asked: true });
      return this.#holding !== undefined;
    });
    peers.onLost((peer) => {
      if (peer === this.holder?.name) this.#news.lostLink();
    });
  }

  /** Set by the process: fetches a version of the set from a peer. */
  onSetWanted: (peer: string, version: number) => void = () => {};

  #gain(known: KnownRecord): void {
    const { log, listener, clock } = this.#options;
    this.#record.take(known);
    const { fence } = known.record;
    const hold = { fence, revision: known.revision };
    this.#holding = hold;
    this.#succession.gained();
    this.#confirmation.confirm(clock.monotonic());
    log.info("hold.gained", {
      fence,
      revision: known.revision,
      silenceMs: Math.round(this.silenceMs),
    });
    this.#roster.open();
    void this.#teller.gained();
    listener.gained(hold);
  }

  #watchHold(): void {
    if (this.#takeover.isBusy) return;
    const { ageMs, wasSuspended } = this.#confirmation;
    const stale = ageMs >= CONFIRM_AFTER_MS || wasSuspended;
    const work = stale ? this.#confirm() : this.#succession.offerToStronger();
    if (work !== undefined) this.#takeover.wait(work);
  }

  async #confirm(): Promise<void> {
    const hold = this.#holding;
    if (hold === undefined) return;
    const sentMs = this.#options.clock.monotonic();
    const skewMs = this.#confirmation.skewMs();
    const outcome = await this.#writer.confirm(hold);
    if (outcome.type === "replaced") this.#record.note(outcome.known);
    if (outcome.type !== "held") return;
    this.#confirmation.confirm(sentMs, skewMs);
  }
}
