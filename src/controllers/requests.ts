/**
 * The holder's side of dispatching requests: each waits in the queue of the
 * instance where it arrived until a worker answers it, its deadline passes or
 * its caller goes away.
 *
 * @module
 */
import { SpanKind } from "@opentelemetry/api";
import type { Result } from "neverthrow";
import type { Clock } from "../clock.ts";
import { assertNever, type PeerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Waiting } from "../policy/waiting.ts";
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
  LIMIT_PAUSE_MS,
  type Matching,
  type Startable,
  type Target,
} from "./matching.ts";
import type { Placement } from "./placement.ts";

/** Time that a peer has beyond the request's own timeout, milliseconds. */
const ANSWER_GRACE_MS = 1_000;
/** Time to ask a peer what became of an order, milliseconds. */
const SETTLE_WAIT_MS = 1_000;
/** Most workers that one request is tried on. */
const MAX_TRIES = 5;
/** Pause before a request is tried again on workers that have failed it, milliseconds. */
const AVOID_MS = 50;

/** One request of a caller. */
export interface CallerRequest {
  /** Unique to the request. */
  readonly id: string;
  readonly waiting: Waiting;
  readonly idempotent: boolean;
  readonly request: UpstreamRequest;
}

/** Bounds retries to a part of the first tries. */
export interface RetryBudget {
  /** Notes a first try. */
  deposit(): void;
  /** Takes one retry; `false` if the budget is spent. */
  withdraw(): boolean;
}

/** What the controller needs. */
export interface RequestsOptions {
  readonly matching: Matching;
  readonly placement: Placement;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly retries: RetryBudget;
  /** When a caller should come back to a queue. */
  readonly retryAfterMs: (queue: string) => number;
  /** Whether a request that comes now would leave a queue within its time, milliseconds. */
  readonly canAnswerInTime: (queue: string, budgetMs: number) => boolean;
  /** Told when a request leaves the queue for a worker. */
  readonly departed: (queue: string) => void;
}

/** A request on its way. */
interface Flight extends CallerRequest {
  readonly finish: (outcome: Outcome) => void;
  /** Orders made for it, each with an id of its own. */
  orders: number;
  /** Orders that failed at a worker or on their way to one. */
  tries: number;
  /** The caller has gone. */
  abandoned: boolean;
  /** A worker may have run an earlier try. */
  mayHaveRun: boolean;
  avoid: string[];
}

/** Takes requests in and gives each its outcome. */
export class Requests {
  readonly #options: RequestsOptions;
  readonly #flights = new Map<string, Flight>();

  constructor(options: RequestsOptions) {
    this.#options = options;
    const { peers, placement } = options;
    peers.serve(runCall, (order) => placement.run(order));
    peers.serve(
      resolveRunCall,
      ({ id }) => ({ started: placement.settle(id) }),
    );
  }

  /** Requests that have no outcome yet. */
  get inFlight(): number {
    return this.#flights.size;
  }

  /** Runs a request; resolves with its one outcome. */
  run(request: CallerRequest): Promise<Outcome> {
    this.#options.retries.deposit();
    return new Promise((resolve) => {
      const flight: Flight = {
        ...request,
        orders: 0,
        tries: 0,
        abandoned: false,
        mayHaveRun: false,
        avoid: [],
        finish: (outcome) => {
          this.#flights.delete(request.id);
          resolve(outcome);
        },
      };
      this.#flights.set(request.id, flight);
      if (this.#tooLate(flight)) return this.#refuse(flight, lateFor(flight));
      this.#wait(flight);
    });
  }

  /** Whether a request that has just come cannot be answered in time. */
  #tooLate({ waiting }: Flight): boolean {
    const { canAnswerInTime, clock } = this.#options;
    if (waiting.deadlineAtMs === undefined) return false;
    const budgetMs = waiting.deadlineAtMs - clock.monotonic();
    return !canAnswerInTime(waiting.queue, budgetMs);
  }

  /** The caller has gone: a request that is not on a worker never runs. */
  abandon(id: string): void {
    const flight = this.#flights.get(id);
    if (flight === undefined) return;
    flight.abandoned = true;
    if (!this.#options.matching.withdraw(id)) return;
    this.#refuse(flight, { type: "cancelled" });
  }

  #wait(flight: Flight): void {
    if (flight.abandoned) return this.#refuse(flight, { type: "cancelled" });
    const { matching } = this.#options;
    const startable: Startable = {
      waiting: flight.waiting,
      start: (target) => void this.#start(flight, target),
      expired: () => this.#refuse(flight, lateFor(flight)),
    };
    const pushed = matching.submit(startable);
    if (pushed.isOk()) return;
    const { queue } = flight.waiting;
    this.#refuse(flight, { type: "queueFull", queue });
  }

  async #start(flight: Flight, target: Target): Promise<void> {
    flight.orders++;
    const order = orderOf(flight, target);
    this.#options.departed(flight.waiting.queue);
    switch (target.type) {
      case "self":
        return this.#settled(flight, await this.#options.placement.run(order));
      case "peer":
        return await this.#startAt(flight, { peer: target.peer, order });
      default:
        return assertNever(target);
    }
  }

  async #startAt(
    flight: Flight,
    { peer, order }: { readonly peer: string; readonly order: RunRequest },
  ): Promise<void> {
    const result = await this.#forward(peer, order);
    if (result.isErr()) {
      return await this.#peerFailed(flight, {
        peer,
        order,
        failure: result.error,
      });
    }
    if (result.value.type === "notStarted") {
      this.#learn(peer, flight, result.value.reason);
    }
    this.#settled(flight, result.value);
  }

  /** Sends an order to a peer as a hop of the request's trace. */
  async #forward(
    peer: string,
    order: RunRequest,
  ): Promise<Result<RunResponse, PeerFailure>> {
    const { request } = order;
    const timeoutMs = request.timeoutMs + ANSWER_GRACE_MS;
    const attributes = { peer, order: order.id };
    const hop = { carrier: request.headers, attributes, kind: SpanKind.CLIENT };
    return await withSpan("forward", hop, async (outgoing) => {
      const headers = { ...request.headers, ...outgoing };
      const params = { ...order, request: { ...request, headers } };
      return await this.#options.peers.call(peer, runCall, {
        params,
        timeoutMs,
      });
    });
  }

  /** Remembers what a refusal says of a peer. */
  #learn(peer: string, { waiting }: Flight, reason: Reason): void {
    const { neighbours } = this.#options.matching;
    if (reason.type === "noRoom") neighbours.exhausted(peer);
    if (reason.type === "overLimit") neighbours.atLimit(peer, waiting.team);
  }

  async #peerFailed(
    flight: Flight,
    { peer, order, failure }: {
      readonly peer: string;
      readonly order: RunRequest;
      readonly failure: PeerFailure;
    },
  ): Promise<void> {
    const { log, matching } = this.#options;
    log.warn("peer.failed", { peer, failure: failure.type, id: flight.id });
    switch (failure.type) {
      case "peerUnreached":
        matching.neighbours.exhausted(peer);
        return this.#again(flight, { type: "peerLost", peer });
      case "peerRefused":
      case "peerSilent": {
        const started = await this.#askStarted(peer, order.id);
        const reason: Reason = { type: "peerLost", peer };
        return started
          ? this.#lost(flight, reason)
          : this.#again(flight, reason);
      }
      default:
        return assertNever(failure);
    }
  }

  /** Whether a peer may have started an order; if it says no, it never will. */
  async #askStarted(peer: string, id: string): Promise<boolean> {
    const answer = await this.#options.peers.call(peer, resolveRunCall, {
      params: { id },
      timeoutMs: SETTLE_WAIT_MS,
    });
    return answer.match(({ started }) => started, () => true);
  }

  #settled(flight: Flight, result: RunResponse): void {
    switch (result.type) {
      case "done":
        return flight.finish({ type: "done", answer: result.answer });
      case "lost":
        flight.avoid.push(result.worker);
        return this.#lost(flight, result.reason);
      case "notStarted":
        return this.#notStarted(flight, result);
      default:
        return assertNever(result);
    }
  }

  #notStarted(
    flight: Flight,
    result: RunResponse & { readonly type: "notStarted" },
  ): void {
    if (result.worker !== undefined) flight.avoid.push(result.worker);
    switch (result.reason.type) {
      case "noOwner":
        this.#options.matching.block(flight.waiting.team, LIMIT_PAUSE_MS);
        return this.#wait(flight);
      case "noRoom":
        return this.#noRoom(flight);
      default:
        return this.#again(flight, result.reason);
    }
  }

  /** Room may be left on workers alone that have failed the request. */
  #noRoom(flight: Flight): void {
    if (flight.avoid.length === 0) return this.#wait(flight);
    this.#options.clock.after(AVOID_MS, () => {
      flight.avoid = [];
      this.#wait(flight);
    });
  }

  /** Tries a request that has not been started once more. */
  #again(flight: Flight, reason: Reason): void {
    flight.tries++;
    if (flight.tries >= MAX_TRIES) return this.#refuse(flight, reason);
    this.#wait(flight);
  }

  /** A worker may have run it: only an idempotent request is tried again. */
  #lost(flight: Flight, reason: Reason): void {
    flight.mayHaveRun = true;
    flight.tries++;
    const again = flight.idempotent && flight.tries < MAX_TRIES &&
      this.#options.retries.withdraw();
    if (again) return this.#wait(flight);
    flight.finish({ type: "unknown", reason });
  }

  #refuse(flight: Flight, reason: Reason): void {
    if (flight.mayHaveRun) return flight.finish({ type: "unknown", reason });
    const { queue } = flight.waiting;
    const retryAfterMs = this.#options.retryAfterMs(queue);
    flight.finish({ type: "notRun", reason, retryAfterMs });
  }
}

function lateFor({ waiting }: Flight): Reason {
  return { type: "deadlineTooClose", queue: waiting.queue };
}

function orderOf(flight: Flight, target: Target): RunRequest {
  const { waiting, idempotent, request } = flight;
  return {
    id: `${flight.id}.${flight.orders}`,
    team: waiting.team,
    workload: waiting.workload,
    need: waiting.need,
    idempotent,
    request: { ...request },
    offer: target.type === "peer" ? target.offer?.offer : undefined,
    avoid: [...flight.avoid],
  };
}
