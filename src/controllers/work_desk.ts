/**
 * Shows, lists and cancels deferred work at any instance, by calls to the owners
 * of the journal segments.
 *
 * @module
 */
import type { Authority } from "../ports/authority.ts";
import type { Call, Peers } from "../ports/peers.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  type CancelAnswer,
  cancelWaveCall,
  cancelWorkCall,
  listWorkCall,
  showWorkCall,
  type WorkAnswer,
} from "../wire/work.ts";
import type { Deferred } from "./deferred.ts";
import type { CancelFailure } from "./deferred_failures.ts";

/** Prefix of the names of ownership units that are journal segments. */
export const SEGMENT_UNIT = "segment:";
/** Timeout for a call to another instance. */
const PEER_TIMEOUT_MS = 3_000;
/** Maximum number of work items in one listing. */
const MAX_LISTED_WORKS = 1_000;

/** Options of the service. */
export interface WorkDeskOptions {
  readonly self: string;
  readonly deferred: Deferred;
  readonly authority: Authority;
  readonly peers: Peers;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
}

/** Serves operations on deferred work to callers and to other instances. */
export class WorkDesk {
  readonly #options: WorkDeskOptions;

  constructor(options: WorkDeskOptions) {
    this.#options = options;
    const { deferred, peers } = options;
    peers.serve(showWorkCall, ({ id }) => this.#showLocal(id));
    peers.serve(listWorkCall, ({ team, limit }) => ({
      works: deferred.list(team, { limit }),
    }));
    peers.serve(cancelWorkCall, (target) => this.#cancelLocal(target));
    peers.serve(cancelWaveCall, (target) => this.#cancelWorkloadLocal(target));
  }

  /** Returns a work item; `notHeld` if its origin is unknown or does not answer. */
  async show(id: string): Promise<WorkAnswer> {
    const origin = this.#originOf(id);
    if (origin === undefined) return { type: "notHeld" };
    if (origin === this.#options.self) return this.#showLocal(id);
    return await this.#callPeer(origin, showWorkCall, { id }) ??
      { type: "notHeld" };
  }

  /** Lists work items of a team; those of instances that do not answer are missing. */
  async list(team: string): Promise<readonly unknown[]> {
    const params = { team, limit: MAX_LISTED_WORKS };
    const { deferred, members } = this.#options;
    const answers = await Promise.all(
      members().map((peer) => this.#callPeer(peer, listWorkCall, params)),
    );
    const local = deferred.list(team, { limit: MAX_LISTED_WORKS });
    return [...local, ...answers.flatMap((answer) => answer?.works ?? [])]
      .slice(0, MAX_LISTED_WORKS);
  }

  /** Cancels one work item; `notHeld` if its origin is unknown or does not answer. */
  async cancel(target: { id: string; team: string }): Promise<CancelAnswer> {
    const origin = this.#originOf(target.id);
    if (origin === undefined) return { type: "notHeld" };
    if (origin === this.#options.self) return await this.#cancelLocal(target);
    return await this.#callPeer(origin, cancelWorkCall, target) ??
      { type: "notHeld" };
  }

  /**
   * Cancels all open work items of a workload on all instances. Unless every
   * instance has answered `cancelled`, returns the first other answer, or
   * `notHeld` for an instance that did not answer; the other instances have
   * cancelled theirs all the same.
   */
  async cancelWave(
    target: { team: string; workload: string },
  ): Promise<CancelAnswer> {
    const peers = this.#options.members();
    const answers = await Promise.all([
      this.#cancelWorkloadLocal(target),
      ...peers.map((peer) => this.#callPeer(peer, cancelWaveCall, target)),
    ]);
    let works = 0;
    for (const answer of answers) {
      if (answer?.type !== "cancelled") return answer ?? { type: "notHeld" };
      works += answer.works;
    }
    return { type: "cancelled", works };
  }

  #originOf(id: string): string | undefined {
    const segment = parseWorkId(id)?.segment;
    if (segment === undefined) return this.#options.self;
    return this.#options.authority.ownerOf(SEGMENT_UNIT + segment)?.id;
  }

  async #callPeer<P, R>(
    peer: string,
    call: Call<P, R>,
    params: P,
  ): Promise<R | undefined> {
    const options = { params, timeoutMs: PEER_TIMEOUT_MS };
    const answer = await this.#options.peers.call(peer, call, options);
    return answer.unwrapOr(undefined);
  }

  #showLocal(id: string): WorkAnswer {
    return this.#options.deferred.show(id).match<WorkAnswer>(
      (work) => ({ type: "found", work }),
      ({ type }) => ({ type: type === "notHeld" ? "notHeld" : "unknownWork" }),
    );
  }

  async #cancelLocal(
    target: { readonly id: string; readonly team: string },
  ): Promise<CancelAnswer> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "work", ...target });
    return result.match((works) => cancelled(works), cancelFailureResponse);
  }

  async #cancelWorkloadLocal(
    target: { readonly team: string; readonly workload: string },
  ): Promise<CancelAnswer> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "wave", ...target });
    return result.match((works) => cancelled(works), cancelFailureResponse);
  }
}

function cancelled(works: number): CancelAnswer {
  return { type: "cancelled", works };
}

function cancelFailureResponse(failure: CancelFailure): CancelAnswer {
  switch (failure.type) {
    case "unknownWork":
    case "notHeld":
      return { type: failure.type };
    default:
      return { type: "storeAway" };
  }
}
