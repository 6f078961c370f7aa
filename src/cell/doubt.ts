/**
 * Whether a holder that is silent here is silent for the others too.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { CellRecord, Member } from "./cell_record.ts";
import type { CellStore } from "./ports.ts";
import { helloCall } from "./protocol.ts";

/** Longest wait for what others say of a silent holder, milliseconds. */
const OPINION_TIMEOUT_MS = 150;
/** An instance that reaches nobody takes the cell only if the holder has not written for so long, milliseconds. */
const UNWRITTEN_MS = 1_500;

/** What is made of a silent holder. */
export type Verdict =
  /** Nobody hears it. */
  | "silent"
  /** Most of the others hear it. */
  | "heard"
  /** The others know of a later holder. */
  | "replaced";

/** What another instance says. */
interface Opinion {
  readonly fence: number;
  readonly hearsHolder: boolean;
}

/** What a doubt needs. */
export interface DoubtOptions {
  readonly cell: string;
  readonly self: Member;
  readonly peers: Peers;
  readonly store: CellStore;
  readonly clock: Clock;
  readonly log: Log;
}

/** Asks around, or watches the holder's writes where nobody answers. */
export class Doubt {
  readonly #options: DoubtOptions;
  /** Last write of a holder that was seen, and when. */
  #written: { readonly revision: number; readonly atMs: number } | undefined;

  constructor(options: DoubtOptions) {
    this.#options = options;
  }

  /** Settles a doubt about `holder`. Links to `others` must be open or opening. */
  async settle(
    holder: CellRecord,
    others: readonly Member[],
    { silenceMs }: { readonly silenceMs: number },
  ): Promise<Verdict> {
    if (others.length === 0) return "silent";
    const { log } = this.#options;
    const opinions = await this.#ask(others, holder.fence);
    const hearing = opinions.filter((one) => one.hearsHolder).length;
    const verdict = opinions.some((one) => one.fence > holder.fence)
      ? "replaced"
      : opinions.length === 0
      ? await this.#byWrites()
      : 2 * hearing > opinions.length
      ? "heard"
      : "silent";
    log.info("hold.doubted", {
      holder: holder.name,
      fence: holder.fence,
      silenceMs: Math.round(silenceMs),
      asked: others.length,
      answered: opinions.length,
      hearing,
      verdict,
    });
    return verdict;
  }

  /** Opinions until most of `others` agree, or all have answered or had their time. */
  async #ask(
    others: readonly Member[],
    fence: number,
  ): Promise<readonly Opinion[]> {
    const { peers, self } = this.#options;
    const opinions: Opinion[] = [];
    const isClear = () => {
      const hearing = opinions.filter((one) => one.hearsHolder).length;
      return opinions.some((one) => one.fence > fence) ||
        2 * hearing > others.length ||
        2 * (opinions.length - hearing) > others.length;
    };
    await new Promise<void>((resolve) => {
      const calls = others.map((member) =>
        peers.call(member.name, helloCall, {
          params: self,
          timeoutMs: OPINION_TIMEOUT_MS,
        }).map((opinion) => {
          opinions.push(opinion);
          if (isClear()) resolve();
        })
      );
      void Promise.all(calls).then(() => resolve());
    });
    return opinions;
  }

  async #byWrites(): Promise<Verdict> {
    const { store, cell, clock } = this.#options;
    const result = await store.list(`${cell}/`);
    // Without the store nobody can take the cell anyway.
    if (result.isErr()) return "heard";
    const revisions = result.value.entries.map((entry) => entry.revision);
    const revision = Math.max(0, ...revisions);
    const now = clock.monotonic();
    if (this.#written?.revision !== revision) {
      this.#written = { revision, atMs: now };
      return "heard";
    }
    return now - this.#written.atMs > UNWRITTEN_MS ? "silent" : "heard";
  }
}
