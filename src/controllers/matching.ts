/**
 * Matches waiting work with free capacity. As an owner of workers, an instance
 * assigns its free capacity to the work that policy ranks first, its own or
 * that of a peer. As an origin of waiting work, it pushes what it cannot run
 * itself to peers that are known to have free capacity.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Result } from "neverthrow";
import type { Timer } from "../clock.ts";
import {
  type Candidate,
  DeferredStartCredit,
  type PeerCandidate,
  selectNext,
} from "../policy/selection.ts";
import type { Shares } from "../policy/shares.ts";
import type { QueueFull, WaitingItem } from "../policy/waiting_queue.ts";
import { add, zeroResources } from "../resources.ts";
import type { Resources, Urgency } from "../types.ts";
import {
  declineOfferNotice,
  type LoadReport,
  loadReportNotice,
  type Offer,
  offerNotice,
} from "../wire/dispatch.ts";
import { LoadReporter, type LoadReporterOptions } from "./load_reporter.ts";
import { PeerLoads } from "./peer_loads.ts";
import type { ChosenWorker } from "./placement.ts";

/**
 * Offered capacity that no peer uses is released after this time, milliseconds.
 */
const OFFER_TIMEOUT_MS = 1_000;
/** Time for which a team that is at its limit is skipped, milliseconds. */
export const LIMIT_RETRY_DELAY_MS = 50;

/** Where waiting work starts. */
export type Target =
  | { readonly type: "self" }
  | {
    readonly type: "peer";
    readonly peer: string;
    /** Capacity that the peer has reserved for the work. */
    readonly offer?: Offer;
  };

/** Waiting work with the callbacks that start or expire it. */
export interface Startable {
  readonly waiting: WaitingItem;
  /** Starts the work. Called after it has left the queue. */
  start(target: Target): void;
  /** Called when the deadline has passed in the queue. */
  onExpired(): void;
}

/** Dependencies of {@linkcode Matching}. */
export interface MatchingOptions extends LoadReporterOptions {
  readonly shares: Shares;
}

/**
 * Matches work and capacity, both as owner of workers and as origin of work.
 */
export class Matching {
  readonly peerLoads: PeerLoads;
  readonly #options: MatchingOptions;
  readonly #startables = new Map<string, Startable>();
  readonly #blocked = new Map<string, number>();
  /** Teams for which `shares` may hold a usage above zero. */
  #charged = new Set<string>();
  readonly #turns = new DeferredStartCredit();
  readonly #loadReporter: LoadReporter;
  #deadlineTimer: Timer | undefined;
  #retryTimer: Timer | undefined;
  #isMatching = false;
  #scheduled = false;
  #stopped = false;

  constructor(options: MatchingOptions) {
    this.#options = options;
    this.peerLoads = new PeerLoads((team) =>
      options.allowances.limitOf(team) !== undefined
    );
    options.placement.onCapacityChanged(() => this.schedule());
    options.peers.onNotification(
      loadReportNotice,
      (report, from) => this.#handleLoadReport(from, report),
    );
    options.peers.onNotification(offerNotice, (offer, from) => {
      this.#handleOffer(from, offer);
    });
    options.peers.onNotification(
      declineOfferNotice,
      ({ offer, ...backlogKey }, from) => {
        this.peerLoads.recordDecline(from, backlogKey);
        options.placement.offers.release(offer);
      },
    );
    options.peers.onDisconnect((peer) => this.peerLoads.remove(peer));
    this.#loadReporter = new LoadReporter(options);
  }

  /** Number of items in the queue of this instance. */
  get waiting(): number {
    return this.#options.queue.size;
  }

  /** Adds work to the queue; fails if the queue is full. */
  submit(startable: Startable): Result<void, QueueFull> {
    const { queue } = this.#options;
    const pushed = queue.push(startable.waiting);
    if (pushed.isErr()) return pushed;
    this.#startables.set(startable.waiting.id, startable);
    this.schedule();
    this.#armDeadline();
    return pushed;
  }

  /**
   * Removes work from the queue; `false` if it is not in the queue any more.
   */
  withdraw(id: string): boolean {
    this.#startables.delete(id);
    const removed = this.#options.queue.remove(id);
    if (removed !== undefined) this.#loadReporter.sendSoon();
    return removed !== undefined;
  }

  /**
   * Skips the work of a team for `forMs` milliseconds because the team is at
   * its limit.
   */
  blockTeam(team: string, forMs: number): void {
    const untilMs = this.#options.clock.monotonic() + forMs;
    const knownMs = this.#blocked.get(team) ?? -Infinity;
    this.#blocked.set(team, Math.max(untilMs, knownMs));
    this.#options.clock.after(forMs, () => this.schedule());
  }

  /** Unblocks a team that may now have more work running. */
  unblockTeam(team: string): void {
    this.#blocked.delete(team);
    this.schedule();
  }

  /** Schedules a matching pass for after the current event. */
  schedule(): void {
    if (this.#scheduled || this.#stopped) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      if (!this.#stopped) this.#runPass();
    });
  }

  /**
   * Schedules another matching pass after a delay: not every event that makes
   * allowance available is signalled.
   */
  #scheduleRetry(): void {
    if (this.#retryTimer !== undefined) return;
    this.#retryTimer = this.#options.clock.after(LIMIT_RETRY_DELAY_MS, () => {
      this.#retryTimer = undefined;
      this.schedule();
    });
  }

  /** Stops all timers. */
  stop(): void {
    this.#stopped = true;
    this.#retryTimer?.cancel();
    this.#loadReporter.stop();
    this.#deadlineTimer?.cancel();
  }

  #runPass(): void {
    if (this.#isMatching) return;
    this.#isMatching = true;
    this.#expireOverdue();
    this.#refreshShares();
    while (this.#assignCapacity());
    while (this.#pushToPeer());
    this.#isMatching = false;
    this.#loadReporter.sendSoon();
  }

  /**
   * Assigns free capacity of this instance to one item; `false` if there is no
   * capacity or no work that fits.
   */
  #assignCapacity(): boolean {
    const { placement, pool } = this.#options;
    if (pool.totals().free.slots <= 0) return false;
    const hasCapacity = (need: Resources, urgency: Urgency) =>
      (urgency === "urgent" || placement.leavesHeadroom(need)) &&
      placement.findWorker(need) !== undefined;
    const chosen = this.#choose(this.#withAllowance(), hasCapacity);
    if (chosen === undefined) return false;
    if ("origin" in chosen) return this.#offerCapacity(chosen as PeerCandidate);
    return this.#startWaiting(chosen as WaitingItem, { type: "self" });
  }

  /** Pushes one item to a peer; `false` if no item can be pushed. */
  #pushToPeer(): boolean {
    const nowMs = this.#options.clock.monotonic();
    const peerFor = (work: Candidate) =>
      this.peerLoads.peerWithCapacity(work, nowMs);
    const pushable = [...this.#options.queue.heads()]
      .filter((head) => peerFor(head) !== undefined);
    const chosen = this.#choose(pushable, () => true);
    const peer = chosen && peerFor(chosen);
    if (chosen === undefined || peer === undefined) return false;
    this.peerLoads.recordPush(peer, chosen);
    return this.#startWaiting(chosen as WaitingItem, { type: "peer", peer });
  }

  #choose<T extends Candidate>(
    candidates: Iterable<T>,
    hasCapacity: (need: Resources, urgency: Urgency) => boolean,
  ): T | undefined {
    return selectNext(this.#unblocked(candidates), {
      shares: this.#options.shares,
      hasCapacity,
      nowMs: this.#options.clock.monotonic(),
      deferredCredit: this.#turns,
    });
  }

  /**
   * Yields the work that the available allowance lets start here, and requests
   * allowance for the rest.
   */
  *#withAllowance(): Generator<Candidate> {
    const { allowances } = this.#options;
    const missing = new Map<string, number>();
    for (const candidate of this.#allCandidates()) {
      const { team } = candidate;
      if (allowances.available(team) > 0) yield candidate;
      else missing.set(team, (missing.get(team) ?? 0) + candidate.count);
    }
    for (const [team, count] of missing) this.#requestAllowance(team, count);
  }

  /** Requests as much allowance as this instance could use. */
  #requestAllowance(team: string, count: number): void {
    const { allowances, pool } = this.#options;
    const { free } = pool.totals();
    allowances.request(team, Math.max(1, Math.min(count, free.slots)));
    this.#scheduleRetry();
  }

  *#allCandidates(): Generator<Candidate & { readonly count: number }> {
    const { queue } = this.#options;
    for (const head of queue.heads()) {
      yield { ...head, count: queue.countInSubQueue(head) };
    }
    yield* this.peerLoads.waitingWork(this.#options.clock.monotonic());
  }

  *#unblocked<T extends Candidate>(candidates: Iterable<T>): Generator<T> {
    const nowMs = this.#options.clock.monotonic();
    for (const candidate of candidates) {
      const until = this.#blocked.get(candidate.team);
      if (until === undefined || until <= nowMs) yield candidate;
    }
  }

  #startWaiting(waiting: WaitingItem, target: Target): boolean {
    this.#options.queue.remove(waiting.id);
    const startable = this.#startables.get(waiting.id);
    this.#startables.delete(waiting.id);
    this.#recordCharge(waiting);
    startable?.start(target);
    return true;
  }

  #recordCharge({ team, need }: Pick<Candidate, "team" | "need">): void {
    this.#options.shares.charge(team, need);
    this.#charged.add(team);
  }

  #offerCapacity(remote: PeerCandidate): boolean {
    const { placement } = this.#options;
    this.peerLoads.recordOffer(remote);
    const candidate = { ...remote, need: placement.sizeOf(remote) };
    const reserved = placement.reserve(candidate, []);
    if (reserved.type === "none") return false;
    this.#recordCharge(candidate);
    this.#sendOffer(candidate, reserved.place);
    return true;
  }

  #sendOffer(candidate: PeerCandidate, chosen: ChosenWorker): void {
    const { peers, placement } = this.#options;
    const { team, workload, urgency, need, origin } = candidate;
    const offer = randomUUID();
    const reserved = { offer, ...chosen, team, need, reservation: offer };
    placement.offers.add(reserved, OFFER_TIMEOUT_MS);
    peers.notify(origin, offerNotice, {
      offer,
      team,
      workload,
      urgency,
      worker: chosen.worker,
      fence: chosen.fence,
      need,
    });
  }

  #handleOffer(peer: string, offer: Offer): void {
    const { peers, queue } = this.#options;
    const waiting = queue.peekSubQueue(offer);
    if (waiting === undefined) {
      const { team, workload, urgency } = offer;
      const backlogKey = { team, workload, urgency };
      peers.notify(peer, declineOfferNotice, {
        offer: offer.offer,
        ...backlogKey,
      });
      return;
    }
    this.#startWaiting(waiting, { type: "peer", peer, offer });
    this.#loadReporter.sendSoon();
  }

  #handleLoadReport(peer: string, report: LoadReport): void {
    const nowMs = this.#options.clock.monotonic();
    if (this.peerLoads.update(peer, report, nowMs)) this.schedule();
  }

  #refreshShares(): void {
    const { clock, placement, pool, shares } = this.#options;
    shares.advance(clock.monotonic());
    const usage = this.peerLoads.usage();
    for (const [team, used] of placement.usage()) {
      usage.set(team, add(usage.get(team) ?? zeroResources, used));
    }
    for (const team of this.#charged) {
      if (!usage.has(team)) shares.setUsage(team, zeroResources);
    }
    for (const [team, used] of usage) shares.setUsage(team, used);
    this.#charged = new Set(usage.keys());
    shares.setCapacity(add(pool.totals().capacity, this.peerLoads.capacity()));
  }

  #armDeadline(): void {
    const { clock, queue } = this.#options;
    this.#deadlineTimer?.cancel();
    const next = queue.nextDeadlineMs();
    if (next === undefined) return;
    const delayMs = Math.max(0, next - clock.monotonic());
    this.#deadlineTimer = clock.after(delayMs, () => {
      this.#expireOverdue();
      this.#armDeadline();
    });
  }

  #expireOverdue(): void {
    const { clock, queue } = this.#options;
    const nextMs = queue.nextDeadlineMs() ?? Infinity;
    if (nextMs > clock.monotonic()) return;
    for (const waiting of queue.expire(clock.monotonic())) {
      const startable = this.#startables.get(waiting.id);
      this.#startables.delete(waiting.id);
      startable?.onExpired();
    }
    this.#armDeadline();
    this.#loadReporter.sendSoon();
  }
}
