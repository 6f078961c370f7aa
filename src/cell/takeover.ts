/**
 * How an instance comes to hold the cell: when it doubts the holder, it asks
 * the others and takes the record by a conditional write.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { rankCandidates, strongerThan, watchersOf } from "./candidates.ts";
import type { CellRecord, Member } from "./cell_record.ts";
import { Doubt } from "./doubt.ts";
import type { HolderNews } from "./holder_news.ts";
import type { HoldWriter, KnownRecord } from "./hold_writer.ts";
import type { CellStore } from "./ports.ts";
import type { Roster } from "./roster.ts";

/** Each further candidate waits so much longer, milliseconds: a takeover's write and its news. */
const RANK_MS = 100;
/** Weak candidates wait so much longer, milliseconds: the restart of a strong one. */
const WEAK_MS = 1_500;
/** Pause after a failed try, milliseconds. */
const AGAIN_MS = 300;

/** What a takeover needs. */
export interface TakeoverOptions {
  readonly cell: string;
  readonly self: Member;
  readonly store: CellStore;
  readonly peers: Peers;
  readonly roster: Roster;
  readonly news: HolderNews;
  readonly writer: HoldWriter;
  /** Opens links to these instances and drops others. */
  readonly link: (members: readonly Member[]) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  /** The record as it is known. */
  readonly known: () => KnownRecord | undefined;
  /** Whether this process is the holder. */
  readonly holds: () => boolean;
  /** Makes this instance known to a holder that others hear. */
  readonly greet: (holder: CellRecord) => void;
  readonly readRecord: () => Promise<void>;
  /** Somebody else's record stands in the store. */
  readonly noted: (known: KnownRecord) => void;
  /** The record is this process's. */
  readonly gained: (known: KnownRecord) => void;
}

/** One try at a time. */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #doubt: Doubt;
  #busy = false;
  #retryAtMs = 0;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#doubt = new Doubt(options);
  }

  /** Whether the hold is being taken, confirmed or given away. */
  get isBusy(): boolean {
    return this.#busy;
  }

  /** Takes nothing until `work` on the hold has ended. */
  wait(work: Promise<unknown>): void {
    this.#busy = true;
    void work.finally(() => this.#busy = false);
  }

  /** Whether it is this instance's turn to doubt the holder. */
  isDue(): boolean {
    const { clock, self, news } = this.#options;
    if (this.#busy || clock.monotonic() < this.#retryAtMs) return false;
    const weak = this.#isWeak();
    // A weak machine that held the cell before its restart waits like any other.
    if (this.#heldBefore() && !weak) return true;
    const rank = this.ranked().indexOf(self.name);
    const delayMs = rank * RANK_MS + (weak ? WEAK_MS : 0);
    return news.isSilent(Math.max(0, delayMs));
  }

  /** Candidates in the order in which they try. */
  ranked(): readonly string[] {
    const { self, roster, known, holds } = this.#options;
    return rankCandidates(roster.members, {
      // A holder looks for its successor among the others.
      self: holds() ? undefined : self,
      holder: known()?.record.name,
      fence: this.#fence(),
    });
  }

  /** Takes the cell if the others miss its holder too, or if the holder has asked for it. */
  async attempt({ asked }: { readonly asked: boolean }): Promise<void> {
    if (this.#busy || this.#options.holds()) return;
    this.#busy = true;
    try {
      const fence = this.#fence();
      const may = asked || this.#heldBefore() || await this.#isSilentForAll();
      // A doubt about one holder says nothing of the one that came meanwhile.
      if (may && this.#fence() === fence) await this.#take();
    } finally {
      this.#busy = false;
      const { clock, random } = this.#options;
      this.#retryAtMs = clock.monotonic() + AGAIN_MS * (0.5 + random());
    }
  }

  #fence(): number {
    return this.#options.known()?.record.fence ?? 0;
  }

  /** Whether an earlier process of this instance was the last holder. */
  #heldBefore(): boolean {
    const { known, self } = this.#options;
    return known()?.record.name === self.name;
  }

  /** Whether a machine of at least twice the power takes part. */
  #isWeak(): boolean {
    const { self, roster } = this.#options;
    return strongerThan(self, roster.members).length > 0;
  }

  async #isSilentForAll(): Promise<boolean> {
    const { link, news, known, greet } = this.#options;
    const holder = known()?.record;
    if (holder === undefined) return true;
    const others = this.#witnesses(holder);
    link([holder, ...others]);
    const { silenceMs } = news;
    const verdict = await this.#doubt.settle(holder, others, { silenceMs });
    switch (verdict) {
      case "silent":
        return true;
      case "heard":
        // It may have dropped this instance.
        greet(holder);
        return false;
      case "replaced":
        await this.#options.readRecord();
        return false;
    }
  }

  /** Who is asked about a silent holder: the other watchers, who miss it as soon as this one; all others where this is none. */
  #witnesses(holder: CellRecord): readonly Member[] {
    const { self, roster, news } = this.#options;
    const others = roster.members.filter((member) =>
      member.name !== self.name && member.name !== holder.name
    );
    if (!news.watches) return others;
    const watchers = new Set(watchersOf(this.ranked()));
    return others.filter(({ name }) => watchers.has(name));
  }

  async #take(): Promise<void> {
    const { known, news, noted, gained, readRecord, writer } = this.#options;
    if (known() === undefined) {
      await readRecord();
      // Somebody was quicker: its news is on its way.
      if (known() !== undefined) return;
    }
    const revision = known()?.revision ?? 0;
    const outcome = await writer.take(this.#fence() + 1, revision);
    switch (outcome.type) {
      case "held":
        return gained(outcome.known);
      case "replaced":
        noted(outcome.known);
        news.heardOf();
        return;
      case "failed":
        return await readRecord();
    }
  }
}
