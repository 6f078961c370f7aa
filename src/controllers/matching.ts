/**
 * Brings waiting work and room together. As an owner of workers, an instance
 * gives each free room to what should run next by policy, its own or a
 * peer's; as a holder of waiting work it pushes what it cannot run itself to
 * peers known to have room.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Result } from "neverthrow";
import type { Timer } from "../clock.ts";
import {
  type Candidate,
  chooseNext,
  DeferredTurns,
  type PeerCandidate,
} from "../policy/choice.ts";
import type { Shares } from "../policy/shares.ts";
import type { QueueFull, Waiting } from "../policy/waiting.ts";
import { add, zeroResources } from "../resources.ts";
import type { Resources, Urgency } from "../types.ts";
import {
  declineOfferNotice,
  type LoadReport,
  loadReportNotice,
  type Offer,
  offerNotice,
} from "../wire/dispatch.ts";
import { type NewsOptions, NewsTeller } from "./news_teller.ts";
import { Neighbours } from "./neighbours.ts";
import type { Place } from "./placement.ts";

/** Offered room that nobody takes is free again after so long, milliseconds. */
const OFFER_LAPSE_MS = 1_000;
/** Pause of a team that is at its limit, milliseconds. */
export const LIMIT_PAUSE_MS = 50;

/** Where waiting work should start. */
export type Target =
  | { readonly type: "self" }
  | {
    readonly type: "peer";
    readonly peer: string;
    /** Room that the peer holds for it. */
    readonly offer?: Offer;
  };

/** Waiting work with what is to be done with it. */
export interface Startable {
  readonly waiting: Waiting;
  /** Starts it; called after it has left the queue. */
  start(target: Target): void;
  /** Its deadline passed in the queue. */
  expired(): void;
}

/** What the controller needs. */
export interface MatchingOptions extends NewsOptions {
  readonly shares: Shares;
}

/** Both roles of an instance. */
export class Matching {
  readonly neighbours: Neighbours;
  readonly #options: MatchingOptions;
  readonly #startables = new Map<string, Startable>();
  readonly #blocked = new Map<string, number>();
  /** Teams that are charged for something. */
  #charged = new Set<string>();
  readonly #turns = new DeferredTurns();
  readonly #news: NewsTeller;
  #deadlineTimer: Timer | undefined;
  #againTimer: Timer | undefined;
  #pumping = false;
  #scheduled = false;
  #stopped = false;

  constructor(options: MatchingOptions) {
    this.#options = options;
    this.neighbours = new Neighbours((team) =>
      options.allowances.limitOf(team) !== undefined
    );
    options.placement.onRoom(() => this.schedule());
    options.peers.onNotification(
      loadReportNotice,
      (news, from) => this.#heard(from, news),
    );
    options.peers.onNotification(offerNotice, (offer, from) => {
      this.#offered(from, offer);
    });
    options.peers.onNotification(
      declineOfferNotice,
      ({ offer, ...lane }, from) => {
        this.neighbours.declined(from, lane);
        options.placement.offers.release(offer);
      },
    );
    options.peers.onDisconnect((peer) => this.neighbours.forget(peer));
    this.#news = new NewsTeller(options);
  }

  /** Number of items that wait here. */
  get waiting(): number {
    return this.#options.queue.size;
  }

  /** Lets work wait for its turn. */
  submit(startable: Startable): Result<void, QueueFull> {
    const { queue } = this.#options;
    const pushed = queue.push(startable.waiting);
    if (pushed.isErr()) return pushed;
    this.#startables.set(startable.waiting.id, startable);
    this.schedule();
    this.#armDeadline();
    return pushed;
  }

  /** Takes waiting work out; `false` if it does not wait here any more. */
  withdraw(id: string): boolean {
    this.#startables.delete(id);
    const removed = this.#options.queue.remove(id);
    if (removed !== undefined) this.#news.tell();
    return removed !== undefined;
  }

  /** Starts no work of a team for a while, because its limit is reached. */
  block(team: string, forMs: number): void {
    const untilMs = this.#options.clock.monotonic() + forMs;
    const knownMs = this.#blocked.get(team) ?? -Infinity;
    this.#blocked.set(team, Math.max(untilMs, knownMs));
    this.#options.clock.after(forMs, () => this.schedule());
  }

  /** A team may have more running than before. */
  gained(team: string): void {
    this.#blocked.delete(team);
    this.schedule();
  }

  /** Matches as soon as the present event is done with. */
  schedule(): void {
    if (this.#scheduled || this.#stopped) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      if (!this.#stopped) this.#pump();
    });
  }

  /** Matches again shortly, since no event may tell that allowance can be had. */
  #lookAgain(): void {
    if (this.#againTimer !== undefined) return;
    this.#againTimer = this.#options.clock.after(LIMIT_PAUSE_MS, () => {
      this.#againTimer = undefined;
      this.schedule();
    });
  }

  /** Ends the timers. */
  stop(): void {
    this.#stopped = true;
    this.#againTimer?.cancel();
    this.#news.stop();
    this.#deadlineTimer?.cancel();
  }

  #pump(): void {
    if (this.#pumping) return;
    this.#pumping = true;
    this.#expire();
    this.#refreshShares();
    while (this.#giveRoom());
    while (this.#push());
    this.#pumping = false;
    this.#news.tell();
  }

  /** Gives one free room of this instance away; `false` if there is none or nobody for it. */
  #giveRoom(): boolean {
    const { placement, pool } = this.#options;
    if (pool.totals().free.slots <= 0) return false;
    const hasRoom = (need: Resources, urgency: Urgency) =>
      (urgency === "urgent" || placement.leavesHeadroom(need)) &&
      placement.findRoom(need) !== undefined;
    const chosen = this.#choose(this.#allowed(), hasRoom);
    if (chosen === undefined) return false;
    if ("holder" in chosen) return this.#offerRoom(chosen as PeerCandidate);
    return this.#startOwn(chosen as Waiting, { type: "self" });
  }

  /** Pushes one item to a peer; `false` if none can be. */
  #push(): boolean {
    const nowMs = this.#options.clock.monotonic();
    const roomFor = (work: Candidate) => this.neighbours.withRoom(work, nowMs);
    const pushable = [...this.#options.queue.heads()]
      .filter((head) => roomFor(head) !== undefined);
    const chosen = this.#choose(pushable, () => true);
    const peer = chosen && roomFor(chosen);
    if (chosen === undefined || peer === undefined) return false;
    this.neighbours.spend(peer, chosen);
    return this.#startOwn(chosen as Waiting, { type: "peer", peer });
  }

  #choose<T extends Candidate>(
    candidates: Iterable<T>,
    hasRoom: (need: Resources, urgency: Urgency) => boolean,
  ): T | undefined {
    return chooseNext(this.#unblocked(candidates), {
      shares: this.#options.shares,
      hasRoom,
      nowMs: this.#options.clock.monotonic(),
      turns: this.#turns,
    });
  }

  /** The work that allowance in hand lets start here; asks for more where there is none. */
  *#allowed(): Generator<Candidate> {
    const { allowances } = this.#options;
    const short = new Map<string, number>();
    for (const candidate of this.#allCandidates()) {
      const { team } = candidate;
      if (allowances.available(team) > 0) yield candidate;
      else short.set(team, (short.get(team) ?? 0) + candidate.count);
    }
    for (const [team, count] of short) this.#want(team, count);
  }

  /** Asks for as much allowance as could be used here. */
  #want(team: string, count: number): void {
    const { allowances, pool } = this.#options;
    const { free } = pool.totals();
    allowances.request(team, Math.max(1, Math.min(count, free.slots)));
    this.#lookAgain();
  }

  *#allCandidates(): Generator<Candidate & { readonly count: number }> {
    const { queue } = this.#options;
    for (const head of queue.heads()) {
      yield { ...head, count: queue.countOf(head) };
    }
    yield* this.neighbours.waiting(this.#options.clock.monotonic());
  }

  *#unblocked<T extends Candidate>(candidates: Iterable<T>): Generator<T> {
    const nowMs = this.#options.clock.monotonic();
    for (const candidate of candidates) {
      const until = this.#blocked.get(candidate.team);
      if (until === undefined || until <= nowMs) yield candidate;
    }
  }

  #startOwn(waiting: Waiting, target: Target): boolean {
    this.#options.queue.remove(waiting.id);
    const startable = this.#startables.get(waiting.id);
    this.#startables.delete(waiting.id);
    this.#charge(waiting);
    startable?.start(target);
    return true;
  }

  #charge({ team, need }: Pick<Candidate, "team" | "need">): void {
    this.#options.shares.charge(team, need);
    this.#charged.add(team);
  }

  #offerRoom(remote: PeerCandidate): boolean {
    const { placement } = this.#options;
    this.neighbours.offered(remote);
    const candidate = { ...remote, need: placement.sizeOf(remote) };
    const reserved = placement.reserve(candidate, []);
    if (reserved.type === "none") return false;
    this.#charge(candidate);
    this.#sendOffer(candidate, reserved.place);
    return true;
  }

  #sendOffer(candidate: PeerCandidate, place: Place): void {
    const { peers, placement } = this.#options;
    const { team, workload, urgency, need, holder } = candidate;
    const offer = randomUUID();
    const room = { offer, ...place, team, need, reservation: offer };
    placement.offers.hold(room, OFFER_LAPSE_MS);
    peers.notify(holder, offerNotice, {
      offer,
      team,
      workload,
      urgency,
      worker: place.worker,
      fence: place.fence,
      need,
    });
  }

  #offered(peer: string, offer: Offer): void {
    const { peers, queue } = this.#options;
    const waiting = queue.headOf(offer);
    if (waiting === undefined) {
      const { team, workload, urgency } = offer;
      const lane = { team, workload, urgency };
      peers.notify(peer, declineOfferNotice, { offer: offer.offer, ...lane });
      return;
    }
    this.#startOwn(waiting, { type: "peer", peer, offer });
    this.#news.tell();
  }

  #heard(peer: string, news: LoadReport): void {
    const nowMs = this.#options.clock.monotonic();
    if (this.neighbours.heard(peer, news, nowMs)) this.schedule();
  }

  #refreshShares(): void {
    const { clock, placement, pool, shares } = this.#options;
    shares.advance(clock.monotonic());
    const usage = this.neighbours.usage();
    for (const [team, used] of placement.usage()) {
      usage.set(team, add(usage.get(team) ?? zeroResources, used));
    }
    for (const team of this.#charged) {
      if (!usage.has(team)) shares.setUsage(team, zeroResources);
    }
    for (const [team, used] of usage) shares.setUsage(team, used);
    this.#charged = new Set(usage.keys());
    shares.setCapacity(add(pool.totals().capacity, this.neighbours.capacity()));
  }

  #armDeadline(): void {
    const { clock, queue } = this.#options;
    this.#deadlineTimer?.cancel();
    const next = queue.nextDeadlineMs();
    if (next === undefined) return;
    const delayMs = Math.max(0, next - clock.monotonic());
    this.#deadlineTimer = clock.after(delayMs, () => {
      this.#expire();
      this.#armDeadline();
    });
  }

  #expire(): void {
    const { clock, queue } = this.#options;
    const nextMs = queue.nextDeadlineMs() ?? Infinity;
    if (nextMs > clock.monotonic()) return;
    for (const waiting of queue.expire(clock.monotonic())) {
      const startable = this.#startables.get(waiting.id);
      this.#startables.delete(waiting.id);
      startable?.expired();
    }
    this.#armDeadline();
    this.#news.tell();
  }
}
