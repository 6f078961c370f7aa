/**
 * What an instance knows of the holder of the cell: the record with the highest
 * fence that it has seen, from the store, from statuses or by its own taking.
 *
 * @module
 */
import type { CellRecord } from "./cell_record.ts";
import type { HolderNews } from "./holder_news.ts";
import type { HoldWriter, KnownRecord } from "./hold_writer.ts";
import type { LeadershipOptions } from "./leadership_options.ts";
import { helloCall } from "./protocol.ts";

/** Longest wait for a greeting's answer, milliseconds. */
const HELLO_TIMEOUT_MS = 500;

/** What the knowledge is made of and whom it tells. */
export interface KnownHolderOptions
  extends Pick<LeadershipOptions, "self" | "boot" | "peers" | "link" | "log"> {
  readonly writer: HoldWriter;
  readonly news: HolderNews;
  /** Whether this process holds the cell. */
  readonly holds: () => boolean;
  /** Somebody else holds the cell that this process held. */
  readonly deposed: (why: string) => void;
}

/** The holder as one instance knows it. */
export class KnownHolder {
  readonly #options: KnownHolderOptions;
  readonly #replaced = new Set<() => void>();
  #known: KnownRecord | undefined;

  constructor(options: KnownHolderOptions) {
    this.#options = options;
  }

  /** The record with its revision; `undefined` before the first. */
  get known(): KnownRecord | undefined {
    return this.#known;
  }

  /** Highest fence that is known. */
  get fence(): number {
    return this.#known?.record.fence ?? 0;
  }

  /** Calls `listener` when another process becomes the holder; gives a function that ends that. */
  onReplaced(listener: () => void): () => void {
    this.#replaced.add(listener);
    return () => void this.#replaced.delete(listener);
  }

  /** Reads the record in the store. */
  async read(): Promise<void> {
    const known = await this.#options.writer.read();
    if (known === undefined) return;
    this.note(known);
    const own = known.record.name === this.#options.self.name;
    if (own || this.#options.holds()) return;
    void this.greet(known.record);
  }

  /** Tells the holder of this instance, and finds out whether it still is the holder. */
  async greet(record: CellRecord): Promise<void> {
    const { peers, self, news } = this.#options;
    const answer = await peers.call(record.name, helloCall, {
      params: self,
      timeoutMs: HELLO_TIMEOUT_MS,
    });
    if (answer.isErr()) return;
    if (answer.value.boot === record.boot && answer.value.holds) {
      news.answered();
    } else if (this.#known?.record === record) {
      news.forgotten();
    }
  }

  /** Takes note of a record that somebody has told of. */
  note(known: KnownRecord): void {
    const before = this.#known;
    const { fence, name, boot } = known.record;
    if (before !== undefined && fence < before.record.fence) return;
    this.#known = known;
    if (fence === before?.record.fence) return;
    const { self, log, news, holds, deposed, link } = this.#options;
    if (name === self.name && boot === this.#options.boot) return;
    const { revision } = known;
    log.info("hold.noted", { holder: name, fence, revision });
    news.heardOf();
    this.#tellReplaced();
    if (holds()) deposed(`${name} took the cell`);
    if (name !== self.name) link([known.record]);
  }

  /** Takes note of the record that this process has written. */
  take(known: KnownRecord): void {
    this.#known = known;
    this.#tellReplaced();
  }

  #tellReplaced(): void {
    for (const listener of [...this.#replaced]) listener();
  }
}
