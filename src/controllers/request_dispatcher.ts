/**
 * Dispatching of requests at their origin instance. Each request waits in the
 * queue of the instance where it arrived until a worker answers it, its
 * deadline passes or its caller disconnects.
 *
 * @module
 */
import { SpanKind } from "@opentelemetry/api";
import type { Result } from "neverthrow";
import type { Clock } from "../clock.ts";
import { assertNever, type PeerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { WaitingItem } from "../policy/waiting_queue.ts";
import type { Peers } from "../ports/peers.ts";
import type { UpstreamRequest } from "../ports/upstream.ts";
import { withSpan } from "../tracing.ts";
import type { Outcome, Reason } from "../types.ts";
import {
  resolveRunCall,
  runCall,
  type RunRequest,
  type RunResponse,
} from "../wire/dispatch.ts";
import {
  LIMIT_RETRY_DELAY_MS,
  type Matching,
  type Startable,
  type Target,
} from "./matching.ts";
import type { Placement } from "./placement.ts";

/**
 * Time that a peer gets to respond beyond the request's own timeout,
 * milliseconds.
 */
const PEER_RESPONSE_GRACE_MS = 1_000;
/**
 * Timeout of the call that asks a peer whether it started a run request,
 * milliseconds.
 */
const RESOLVE_TIMEOUT_MS = 1_000;
/** Failed dispatches after which a request is rejected. */
const MAX_FAILED_DISPATCHES = 5;
/**
 * Delay before a request is retried on workers that failed it before,
 * milliseconds.
 */
const AVOIDED_WORKERS_RETRY_DELAY_MS = 50;

/** A request of a caller. */
export interface CallerRequest {
  /** Unique id of the request. */
  readonly id: string;
  readonly waiting: WaitingItem;
  readonly idempotent: boolean;
  readonly request: UpstreamRequest;
}

/** Limits retries to a fraction of the first attempts. */
export interface RetryBudget {
  /** Records a first attempt. */
  deposit(): void;
  /** Takes one retry from the budget; `false` if the budget is spent. */
  withdraw(): boolean;
}

/** Dependencies of {@linkcode RequestDispatcher}. */
export interface RequestDispatcherOptions {
  readonly matching: Matching;
  readonly placement: Placement;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly retryBudget: RetryBudget;
  /** Suggested delay before a caller retries on a queue, milliseconds. */
  readonly retryAfterMs: (queue: string) => number;
  /**
   * Whether a request that arrives now would leave a queue within `budgetMs`,
   * milliseconds.
   */
  readonly canAnswerInTime: (queue: string, budgetMs: number) => boolean;
  /** Called when a request leaves the queue for a worker. */
  readonly onDispatched: (queue: string) => void;
}

/** A request that has no outcome yet. */
interface InFlightRequest extends CallerRequest {
  readonly finish: (outcome: Outcome) => void;
  /** Run requests sent for it; each has an id of its own. */
  dispatches: number;
  /** Run requests that failed at a worker or on the way to one. */
  failedDispatches: number;
  /** The caller has disconnected. */
  abandoned: boolean;
  /** A worker may have run the request in an earlier attempt. */
  mayHaveRun: boolean;
  avoid: string[];
}

/** Accepts requests of callers and resolves each with exactly one outcome. */
export class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;
  readonly #pending = new Map<string, InFlightRequest>();

  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
    const { peers, placement } = options;
    peers.serve(runCall, (runRequest) => placement.run(runRequest));
    peers.serve(
      resolveRunCall,
      ({ id }) => ({ started: placement.resolveRun(id) }),
    );
  }

  /** Number of requests without an outcome. */
  get inFlight(): number {
    return this.#pending.size;
  }

  /** Runs a request; resolves with its only outcome. */
  run(request: CallerRequest): Promise<Outcome> {
    this.#options.retryBudget.deposit();
    return new Promise((resolve) => {
      const pending: InFlightRequest = {
        ...request,
        dispatches: 0,
        failedDispatches: 0,
        abandoned: false,
        mayHaveRun: false,
        avoid: [],
        finish: (outcome) => {
          this.#pending.delete(request.id);
          resolve(outcome);
        },
      };
      this.#pending.set(request.id, pending);
      if (this.#isLate(pending)) return this.#fail(pending, tooLate(pending));
      this.#enqueue(pending);
    });
  }

  /**
   * Whether a request that has just arrived cannot be answered before its
   * deadline.
   */
  #isLate({ waiting }: InFlightRequest): boolean {
    const { canAnswerInTime, clock } = this.#options;
    if (waiting.deadlineAtMs === undefined) return false;
    const budgetMs = waiting.deadlineAtMs - clock.monotonic();
    return !canAnswerInTime(waiting.queue, budgetMs);
  }

  /**
   * Cancels a request whose caller has disconnected. If it is not dispatched at
   * this moment, it never runs.
   */
  cancel(id: string): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.abandoned = true;
    if (!this.#options.matching.withdraw(id)) return;
    this.#fail(pending, { type: "cancelled" });
  }

  #enqueue(pending: InFlightRequest): void {
    if (pending.abandoned) return this.#fail(pending, { type: "cancelled" });
    const { matching } = this.#options;
    const startable: Startable = {
      waiting: pending.waiting,
      start: (target) => void this.#dispatch(pending, target),
      onExpired: () => this.#fail(pending, tooLate(pending)),
    };
    const queued = matching.submit(startable);
    if (queued.isOk()) return;
    const { queue } = pending.waiting;
    this.#fail(pending, { type: "queueFull", queue });
  }

  async #dispatch(pending: InFlightRequest, target: Target): Promise<void> {
    pending.dispatches++;
    const runRequest = createRunRequest(pending, target);
    this.#options.onDispatched(pending.waiting.queue);
    switch (target.type) {
      case "self":
        return this.#handleResponse(
          pending,
          await this.#options.placement.run(runRequest),
        );
      case "peer":
        return await this.#dispatchToPeer(pending, {
          peer: target.peer,
          runRequest,
        });
      default:
        return assertNever(target);
    }
  }

  async #dispatchToPeer(
    pending: InFlightRequest,
    { peer, runRequest }: {
      readonly peer: string;
      readonly runRequest: RunRequest;
    },
  ): Promise<void> {
    const result = await this.#forward(peer, runRequest);
    if (result.isErr()) {
      return await this.#handlePeerFailure(pending, {
        peer,
        runRequest,
        failure: result.error,
      });
    }
    if (result.value.type === "notStarted") {
      this.#recordRejection(peer, pending, result.value.reason);
    }
    this.#handleResponse(pending, result.value);
  }

  /**
   * Forwards a run request to a peer as a child span of the request's trace.
   */
  async #forward(
    peer: string,
    runRequest: RunRequest,
  ): Promise<Result<RunResponse, PeerFailure>> {
    const { request } = runRequest;
    const timeoutMs = request.timeoutMs + PEER_RESPONSE_GRACE_MS;
    const attributes = { peer, order: runRequest.id };
    const spanOptions = {
      carrier: request.headers,
      attributes,
      kind: SpanKind.CLIENT,
    };
    return await withSpan("forward", spanOptions, async (outgoing) => {
      const headers = { ...request.headers, ...outgoing };
      const params = { ...runRequest, request: { ...request, headers } };
      return await this.#options.peers.call(peer, runCall, {
        params,
        timeoutMs,
      });
    });
  }

  /**
   * Updates the known load of a peer by the reason for which it did not start a
   * request.
   */
  #recordRejection(
    peer: string,
    { waiting }: InFlightRequest,
    reason: Reason,
  ): void {
    const { peerLoads } = this.#options.matching;
    if (reason.type === "noRoom") peerLoads.markExhausted(peer);
    if (reason.type === "overLimit") peerLoads.markAtLimit(peer, waiting.team);
  }

  async #handlePeerFailure(
    pending: InFlightRequest,
    { peer, runRequest, failure }: {
      readonly peer: string;
      readonly runRequest: RunRequest;
      readonly failure: PeerFailure;
    },
  ): Promise<void> {
    const { log, matching } = this.#options;
    log.warn("peer.failed", { peer, failure: failure.type, id: pending.id });
    switch (failure.type) {
      case "peerUnreached":
        matching.peerLoads.markExhausted(peer);
        return this.#retry(pending, { type: "peerLost", peer });
      case "peerRefused":
      case "peerSilent": {
        const started = await this.#mayHaveStarted(peer, runRequest.id);
        const reason: Reason = { type: "peerLost", peer };
        return started
          ? this.#handleUnknownOutcome(pending, reason)
          : this.#retry(pending, reason);
      }
      default:
        return assertNever(failure);
    }
  }

  /**
   * Whether a peer may have started a run request. A peer that answers no will
   * never start it.
   */
  async #mayHaveStarted(peer: string, id: string): Promise<boolean> {
    const answer = await this.#options.peers.call(peer, resolveRunCall, {
      params: { id },
      timeoutMs: RESOLVE_TIMEOUT_MS,
    });
    return answer.match(({ started }) => started, () => true);
  }

  #handleResponse(pending: InFlightRequest, response: RunResponse): void {
    switch (response.type) {
      case "done":
        return pending.finish({ type: "done", answer: response.answer });
      case "lost":
        pending.avoid.push(response.worker);
        return this.#handleUnknownOutcome(pending, response.reason);
      case "notStarted":
        return this.#handleNotStarted(pending, response);
      default:
        return assertNever(response);
    }
  }

  #handleNotStarted(
    pending: InFlightRequest,
    response: RunResponse & { readonly type: "notStarted" },
  ): void {
    if (response.worker !== undefined) pending.avoid.push(response.worker);
    switch (response.reason.type) {
      case "noOwner":
        this.#options.matching.blockTeam(
          pending.waiting.team,
          LIMIT_RETRY_DELAY_MS,
        );
        return this.#enqueue(pending);
      case "noRoom":
        return this.#handleNoCapacity(pending);
      default:
        return this.#retry(pending, response.reason);
    }
  }

  /**
   * The only workers with free capacity may be those that failed the request:
   * retries on them after a delay.
   */
  #handleNoCapacity(pending: InFlightRequest): void {
    if (pending.avoid.length === 0) return this.#enqueue(pending);
    this.#options.clock.after(AVOIDED_WORKERS_RETRY_DELAY_MS, () => {
      pending.avoid = [];
      this.#enqueue(pending);
    });
  }

  /** Retries a request that no worker has started. */
  #retry(pending: InFlightRequest, reason: Reason): void {
    pending.failedDispatches++;
    if (pending.failedDispatches >= MAX_FAILED_DISPATCHES) {
      return this.#fail(pending, reason);
    }
    this.#enqueue(pending);
  }

  /**
   * Handles a run whose outcome is unknown: a worker may have run the request,
   * so only an idempotent one is retried.
   */
  #handleUnknownOutcome(pending: InFlightRequest, reason: Reason): void {
    pending.mayHaveRun = true;
    pending.failedDispatches++;
    const canRetry = pending.idempotent &&
      pending.failedDispatches < MAX_FAILED_DISPATCHES &&
      this.#options.retryBudget.withdraw();
    if (canRetry) return this.#enqueue(pending);
    pending.finish({ type: "unknown", reason });
  }

  #fail(pending: InFlightRequest, reason: Reason): void {
    if (pending.mayHaveRun) return pending.finish({ type: "unknown", reason });
    const { queue } = pending.waiting;
    const retryAfterMs = this.#options.retryAfterMs(queue);
    pending.finish({ type: "notRun", reason, retryAfterMs });
  }
}

function tooLate({ waiting }: InFlightRequest): Reason {
  return { type: "deadlineTooClose", queue: waiting.queue };
}

function createRunRequest(
  pending: InFlightRequest,
  target: Target,
): RunRequest {
  const { waiting, idempotent, request } = pending;
  return {
    id: `${pending.id}.${pending.dispatches}`,
    team: waiting.team,
    workload: waiting.workload,
    need: waiting.need,
    idempotent,
    request: { ...request },
    offer: target.type === "peer" ? target.offer?.offer : undefined,
    avoid: [...pending.avoid],
  };
}
