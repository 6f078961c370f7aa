/**
 * Checks whether a leader that is silent for this instance is silent for its
 * peers too.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { LeaderRecord, Member } from "./leader_record.ts";
import type { CellStore } from "./ports.ts";
import { helloCall } from "./protocol.ts";

/** Timeout of a call that asks a peer whether it hears the leader, milliseconds. */
const PEER_VIEW_TIMEOUT_MS = 150;
/** Time without a write of the leader after which an instance that reaches no peer may take over, milliseconds. */
const MAX_WRITE_AGE_MS = 1_500;

/** Outcome of a suspicion check. */
export type SuspicionVerdict =
  /**
   * At most half of the peers that answered hear the leader. This is also the
   * verdict if there is no peer to ask. If no peer answered, it is the verdict
   * once the store shows no recent write.
   */
  | "silent"
  /**
   * Most peers that answered hear the leader. If no peer answered, this is the
   * verdict while the leader may still be writing to the store.
   */
  | "heard"
  /** A peer has seen a later leader. */
  | "replaced";

/** What a peer reports about the leader of the cell. */
interface PeerView {
  /** Highest fence that the peer has seen. */
  readonly fence: number;
  /** Whether the peer hears a leader or leads the cell itself. */
  readonly hearsHolder: boolean;
}

/** Dependencies of {@linkcode SuspicionCheck}. */
export interface SuspicionCheckOptions {
  readonly cell: string;
  readonly self: Member;
  readonly peers: Peers;
  readonly store: CellStore;
  readonly clock: Clock;
  readonly log: Log;
}

/** Asks the peers whether they hear the leader; if no peer answers, looks for recent writes of the cell in the store. */
export class SuspicionCheck {
  readonly #options: SuspicionCheckOptions;
  /** Highest revision found under the cell's keys, and when it was first found (monotonic milliseconds). */
  #lastWrite: { readonly revision: number; readonly atMs: number } | undefined;

  constructor(options: SuspicionCheckOptions) {
    this.#options = options;
  }

  /** Checks whether `leader` has failed. Connections to `others` must be open or opening. */
  async check(
    leader: LeaderRecord,
    others: readonly Member[],
    { silenceMs }: { readonly silenceMs: number },
  ): Promise<SuspicionVerdict> {
    if (others.length === 0) return "silent";
    const { log } = this.#options;
    const views = await this.#collectPeerViews(others, leader.fence);
    const hearing = views.filter((view) => view.hearsHolder).length;
    const verdict = views.some((view) => view.fence > leader.fence)
      ? "replaced"
      : views.length === 0
      ? await this.#checkByWrites()
      : 2 * hearing > views.length
      ? "heard"
      : "silent";
    log.info("hold.doubted", {
      holder: leader.name,
      fence: leader.fence,
      silenceMs: Math.round(silenceMs),
      asked: others.length,
      answered: views.length,
      hearing,
      verdict,
    });
    return verdict;
  }

  /** Collects the peers' views of the leader until these decide the verdict, or until every peer has answered or timed out. */
  async #collectPeerViews(
    others: readonly Member[],
    fence: number,
  ): Promise<readonly PeerView[]> {
    const { peers, self } = this.#options;
    const views: PeerView[] = [];
    const isDecided = () => {
      const hearing = views.filter((view) => view.hearsHolder).length;
      return views.some((view) => view.fence > fence) ||
        2 * hearing > others.length ||
        2 * (views.length - hearing) > others.length;
    };
    await new Promise<void>((resolve) => {
      const calls = others.map((member) =>
        peers.call(member.name, helloCall, {
          params: self,
          timeoutMs: PEER_VIEW_TIMEOUT_MS,
        }).map((view) => {
          views.push(view);
          if (isDecided()) resolve();
        })
      );
      void Promise.all(calls).then(() => resolve());
    });
    return views;
  }

  /** Compares the store with the previous check: the leader is silent once no key of the cell has changed for long enough. */
  async #checkByWrites(): Promise<SuspicionVerdict> {
    const { store, cell, clock } = this.#options;
    const result = await store.list(`${cell}/`);
    // No instance can take over without the store.
    if (result.isErr()) return "heard";
    const revisions = result.value.entries.map((entry) => entry.revision);
    const revision = Math.max(0, ...revisions);
    const now = clock.monotonic();
    if (this.#lastWrite?.revision !== revision) {
      this.#lastWrite = { revision, atMs: now };
      return "heard";
    }
    return now - this.#lastWrite.atMs > MAX_WRITE_AGE_MS ? "silent" : "heard";
  }
}
