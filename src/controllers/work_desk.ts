/**
 * Answers for deferred work at any instance, whichever holds it.
 *
 * @module
 */
import type { Authority } from "../ports/authority.ts";
import type { Peers, RpcMethod } from "../ports/peers.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  type CancelResponse,
  cancelWorkCall,
  cancelWorkloadCall,
  listWorkCall,
  showWorkCall,
  type WorkResponse,
} from "../wire/work.ts";
import type { Deferred } from "./deferred.ts";
import type { CancelFailure } from "./deferred_failures.ts";

/** Prefix of the units of ownership that are journal segments. */
export const SEGMENT_UNIT = "segment:";
/** Longest wait for another instance, milliseconds. */
const PEER_WAIT_MS = 3_000;
/** Most works in one listing. */
const LIST_LIMIT = 1_000;

/** What the desk needs. */
export interface WorkDeskOptions {
  readonly self: string;
  readonly deferred: Deferred;
  readonly authority: Authority;
  readonly peers: Peers;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
}

/** Shows, lists and cancels work. */
export class WorkDesk {
  readonly #options: WorkDeskOptions;

  constructor(options: WorkDeskOptions) {
    this.#options = options;
    const { deferred, peers } = options;
    peers.serve(showWorkCall, ({ id }) => this.#showHere(id));
    peers.serve(listWorkCall, ({ team, limit }) => ({
      works: deferred.list(team, { limit }),
    }));
    peers.serve(cancelWorkCall, (target) => this.#cancelHere(target));
    peers.serve(cancelWorkloadCall, (target) => this.#cancelWaveHere(target));
  }

  /** A work, from whoever holds it. */
  async show(id: string): Promise<WorkResponse> {
    const holder = this.#holderOf(id);
    if (holder === undefined) return { type: "notHeld" };
    if (holder === this.#options.self) return this.#showHere(id);
    return await this.#ask(holder, showWorkCall, { id }) ??
      { type: "notHeld" };
  }

  /** The works of a team, from every instance that answers. */
  async list(team: string): Promise<readonly unknown[]> {
    const params = { team, limit: LIST_LIMIT };
    const { deferred, members } = this.#options;
    const answers = await Promise.all(
      members().map((peer) => this.#ask(peer, listWorkCall, params)),
    );
    const here = deferred.list(team, { limit: LIST_LIMIT });
    return [...here, ...answers.flatMap((answer) => answer?.works ?? [])]
      .slice(0, LIST_LIMIT);
  }

  /** Cancels one work. */
  async cancel(target: { id: string; team: string }): Promise<CancelResponse> {
    const holder = this.#holderOf(target.id);
    if (holder === undefined) return { type: "notHeld" };
    if (holder === this.#options.self) return await this.#cancelHere(target);
    return await this.#ask(holder, cancelWorkCall, target) ??
      { type: "notHeld" };
  }

  /** Cancels a wave of work on every instance that answers. */
  async cancelWave(
    target: { team: string; workload: string },
  ): Promise<CancelResponse> {
    const peers = this.#options.members();
    const answers = await Promise.all([
      this.#cancelWaveHere(target),
      ...peers.map((peer) => this.#ask(peer, cancelWorkloadCall, target)),
    ]);
    let works = 0;
    for (const answer of answers) {
      if (answer?.type !== "cancelled") return answer ?? { type: "notHeld" };
      works += answer.works;
    }
    return { type: "cancelled", works };
  }

  #holderOf(id: string): string | undefined {
    const segment = parseWorkId(id)?.segment;
    if (segment === undefined) return this.#options.self;
    return this.#options.authority.ownerOf(SEGMENT_UNIT + segment)?.id;
  }

  async #ask<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    params: P,
  ): Promise<R | undefined> {
    const options = { params, timeoutMs: PEER_WAIT_MS };
    const answer = await this.#options.peers.call(peer, call, options);
    return answer.unwrapOr(undefined);
  }

  #showHere(id: string): WorkResponse {
    return this.#options.deferred.show(id).match<WorkResponse>(
      (work) => ({ type: "found", work }),
      ({ type }) => ({ type: type === "notHeld" ? "notHeld" : "unknownWork" }),
    );
  }

  async #cancelHere(
    target: { readonly id: string; readonly team: string },
  ): Promise<CancelResponse> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "work", ...target });
    return result.match((works) => cancelled(works), cancelAnswer);
  }

  async #cancelWaveHere(
    target: { readonly team: string; readonly workload: string },
  ): Promise<CancelResponse> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "wave", ...target });
    return result.match((works) => cancelled(works), cancelAnswer);
  }
}

function cancelled(works: number): CancelResponse {
  return { type: "cancelled", works };
}

function cancelAnswer(failure: CancelFailure): CancelResponse {
  switch (failure.type) {
    case "unknownWork":
    case "notHeld":
      return { type: failure.type };
    default:
      return { type: "storeAway" };
  }
}
