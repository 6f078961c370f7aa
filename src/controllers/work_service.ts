/**
 * Shows, lists and cancels deferred work at any instance, by calls to the owners
 * of the journal segments.
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
import type { DeferredWork } from "./deferred_work.ts";
import type { CancelFailure } from "./deferred_failures.ts";

/** Prefix of the names of ownership units that are journal segments. */
export const SEGMENT_UNIT_PREFIX = "segment:";
/** Timeout for a call to another instance. */
const PEER_TIMEOUT_MS = 3_000;
/** Maximum number of work items in one listing. */
const MAX_LISTED_WORKS = 1_000;

/** Options of the service. */
export interface WorkServiceOptions {
  readonly self: string;
  readonly deferred: DeferredWork;
  readonly authority: Authority;
  readonly peers: Peers;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
}

/** Serves operations on deferred work to callers and to other instances. */
export class WorkService {
  readonly #options: WorkServiceOptions;

  constructor(options: WorkServiceOptions) {
    this.#options = options;
    const { deferred, peers } = options;
    peers.serve(showWorkCall, ({ id }) => this.#showLocal(id));
    peers.serve(listWorkCall, ({ team, limit }) => ({
      works: deferred.list(team, { limit }),
    }));
    peers.serve(cancelWorkCall, (target) => this.#cancelLocal(target));
    peers.serve(
      cancelWorkloadCall,
      (target) => this.#cancelWorkloadLocal(target),
    );
  }

  /** Returns a work item; `notHeld` if its origin is unknown or does not answer. */
  async show(id: string): Promise<WorkResponse> {
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
  async cancel(target: { id: string; team: string }): Promise<CancelResponse> {
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
  async cancelWorkload(
    target: { team: string; workload: string },
  ): Promise<CancelResponse> {
    const peers = this.#options.members();
    const answers = await Promise.all([
      this.#cancelWorkloadLocal(target),
      ...peers.map((peer) => this.#callPeer(peer, cancelWorkloadCall, target)),
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
    return this.#options.authority.ownerOf(SEGMENT_UNIT_PREFIX + segment)?.id;
  }

  async #callPeer<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    params: P,
  ): Promise<R | undefined> {
    const options = { params, timeoutMs: PEER_TIMEOUT_MS };
    const answer = await this.#options.peers.call(peer, call, options);
    return answer.unwrapOr(undefined);
  }

  #showLocal(id: string): WorkResponse {
    return this.#options.deferred.show(id).match<WorkResponse>(
      (work) => ({ type: "found", work }),
      ({ type }) => ({ type: type === "notHeld" ? "notHeld" : "unknownWork" }),
    );
  }

  async #cancelLocal(
    target: { readonly id: string; readonly team: string },
  ): Promise<CancelResponse> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "work", ...target });
    return result.match((works) => cancelled(works), cancelFailureResponse);
  }

  async #cancelWorkloadLocal(
    target: { readonly team: string; readonly workload: string },
  ): Promise<CancelResponse> {
    const { deferred } = this.#options;
    const result = await deferred.cancel({ type: "wave", ...target });
    return result.match((works) => cancelled(works), cancelFailureResponse);
  }
}

function cancelled(works: number): CancelResponse {
  return { type: "cancelled", works };
}

function cancelFailureResponse(failure: CancelFailure): CancelResponse {
  switch (failure.type) {
    case "unknownWork":
    case "notHeld":
      return { type: failure.type };
    default:
      return { type: "storeAway" };
  }
}
