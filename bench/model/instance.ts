/**
 * One instance of the design: it holds what arrived at it and decides for the
 * workers that it owns, by the policy code of the product.
 *
 * @module
 */
import { LoadReportSchedule } from "../../src/policy/load_report_schedule.ts";
import {
  type Candidate,
  DeferredStartCredit,
  type PeerCandidate,
  selectNext,
} from "../../src/policy/selection.ts";
import {
  PeerBacklogs,
  URGENT_REPORT_TTL_MS,
} from "../../src/policy/peer_backlogs.ts";
import { PeerCapacities } from "../../src/policy/peer_capacities.ts";
import { PeerUsage } from "../../src/policy/peer_usage.ts";
import type { WorkerPool } from "../../src/policy/worker_pool.ts";
import { Shares } from "../../src/policy/shares.ts";
import type { Backlog } from "../../src/policy/waiting_queue.ts";
import { add, fits, zeroResources } from "../../src/resources.ts";
import type { Resources } from "../../src/types.ts";
import { Random } from "../random.ts";
import type { Events } from "./events.ts";
import { HeldQueue } from "./held_queue.ts";
import type { Endpoint, Network } from "./network.ts";
import { OwnedWorkers, type Protections } from "./owned_workers.ts";
import type { Outcomes } from "./record.ts";
import { type Item, SLOTS } from "./trace.ts";

/** Settings of the exchange between instances. */
export interface Parameters extends Protections {
  readonly hopMs: number;
  readonly ordinaryGapMs: number;
  readonly pressingGapMs: number;
  /** Weights of the teams. */
  readonly weights: ReadonlyMap<string, number>;
}

/** What all instances of a model share. */
export interface World {
  readonly events: Events;
  readonly network: Network;
  readonly outcomes: Outcomes;
  readonly parameters: Parameters;
  readonly instances: Instance[];
  /** Workers that fail everything at once. */
  readonly badWorkers: ReadonlySet<string>;
}

/** Room kept for an item that a holder was asked for. */
interface Reservation {
  readonly worker: string;
  readonly candidate: PeerCandidate;
}

interface News {
  readonly backlogs: readonly Backlog[];
  readonly free: Resources;
  readonly usage: ReadonlyMap<string, Resources>;
}

interface Sent {
  readonly item: Item;
  readonly owner: Instance;
}

type Answer = "done" | "failed" | "refused";

/** Time in which a failing worker fails. */
const FAILURE_MS = 5;

/** The instance. */
export class Instance implements Endpoint {
  readonly id: string;
  alive = true;
  readonly #world: World;
  readonly #queue = new HeldQueue();
  readonly #workers: OwnedWorkers;
  readonly #shares = new Shares();
  readonly #turns = new DeferredStartCredit();
  readonly #backlogs: PeerBacklogs;
  readonly #rooms = new PeerCapacities();
  readonly #announcer: LoadReportSchedule;
  readonly #usage = new Map<string, Resources>();
  readonly #peerUsage = new PeerUsage(this.#shares);
  readonly #reservations = new Set<Reservation>();
  readonly #sent = new Map<string, Sent>();
  #sentAtMs = -Infinity;

  constructor(world: World, id: string) {
    this.#world = world;
    this.id = id;
    this.#workers = new OwnedWorkers(world.events, world.parameters);
    const random = new Random(world.instances.length + 1);
    this.#backlogs = new PeerBacklogs(() => random.unit());
    this.#announcer = new LoadReportSchedule(world.parameters);
    this.#shares.setCapacity({ ...zeroResources, slots: SLOTS });
    this.#shares.setWeights(world.parameters.weights);
  }

  /** The workers that this instance owns. */
  get pool(): WorkerPool {
    return this.#workers.pool;
  }

  /** Makes this instance the owner of a worker. */
  own(worker: string, slots: number): void {
    this.#workers.add(worker, slots);
    this.#fill();
  }

  /** Takes a request from a caller. */
  arrive(item: Item): void {
    if (!this.#queue.canAnswer(item, this.#nowMs)) {
      this.#world.outcomes.settle(item, "refused");
      return;
    }
    this.#workers.asked(item);
    this.#queue.push(item);
    this.#fill();
    if (!this.#queue.has(item)) return;
    if (!this.#pushOut(item)) this.#noteQueued(item);
  }

  /** Everything that waits here or was sent elsewhere. */
  held(): Item[] {
    const waiting = [...this.#queue.all()];
    return [...waiting, ...[...this.#sent.values()].map(({ item }) => item)];
  }

  /** Learns that a peer is gone. */
  lost(peer: Instance): void {
    this.#backlogs.forget(peer.id);
    this.#rooms.forget(peer.id);
    this.#peerUsage.forget(peer.id);
    for (const reservation of this.#reservations) {
      if (reservation.candidate.origin === peer.id) {
        this.#unreserve(reservation);
      }
    }
    for (const { item, owner } of this.#sent.values()) {
      if (owner === peer) this.#onAnswer(item, { owner, answer: "failed" });
    }
    this.#fill();
  }

  get #nowMs(): number {
    return this.#world.events.nowMs;
  }

  /** Sends an item to a peer known to have room. */
  #pushOut(item: Item): boolean {
    const margin = this.#workers.kept(item.urgency);
    const owner = this.#rooms.pick(item.need, { margin });
    const peer = this.#world.instances.find(({ id }) => id === owner);
    if (peer === undefined) return false;
    this.#sendRun(item, { owner: peer, reservation: undefined });
    return true;
  }

  #sendRun(
    item: Item,
    to: {
      readonly owner: Instance;
      readonly reservation: Reservation | undefined;
    },
  ): void {
    const { owner, reservation } = to;
    this.#queue.take(item, this.#nowMs);
    this.#sent.set(item.id, { item, owner });
    this.#peerUsage.recordDispatch(owner.id, item);
    const news = this.#news();
    this.#world.network.send(owner, "run", () => {
      owner.#onRun(item, { holder: this, reservation, news });
    });
  }

  #onRun(
    item: Item,
    from: {
      readonly holder: Instance;
      readonly reservation: Reservation | undefined;
      readonly news: News;
    },
  ): void {
    const { holder, reservation } = from;
    this.#workers.asked(item);
    this.#onNews(holder, from.news);
    if (reservation !== undefined) this.#unreserve(reservation);
    if (
      this.#workers.hasRoom(item.need, reservation ? "urgent" : item.urgency)
    ) {
      this.#start(item, holder);
    } else {
      this.#reply(item, { holder, answer: "refused" });
    }
    this.#fill();
  }

  #reply(
    item: Item,
    to: { readonly holder: Instance; readonly answer: Answer },
  ): void {
    const { holder, answer } = to;
    if (holder === this) {
      this.#onAnswer(item, { owner: this, answer });
      return;
    }
    this.#world.network.send(holder, "answer", () => {
      holder.#onAnswer(item, { owner: this, answer });
    });
  }

  #onAnswer(
    item: Item,
    from: { readonly owner: Instance; readonly answer: Answer },
  ): void {
    this.#sent.delete(item.id);
    switch (from.answer) {
      case "done":
        return;
      case "refused":
        this.#rooms.set(from.owner.id, zeroResources);
        this.#again(item);
        return;
      case "failed":
        if (item.idempotent) this.#again(item);
        else this.#world.outcomes.settle(item, "unknown");
    }
  }

  #again(item: Item): void {
    this.#queue.push(item);
    this.#noteQueued(item);
    this.#fill();
  }

  /** Gives free room to what should run next, here or at a peer. */
  #fill(): void {
    this.#shares.advance(this.#nowMs);
    this.#expire();
    for (;;) {
      const chosen = selectNext<Candidate>(this.#candidates(), {
        shares: this.#shares,
        hasCapacity: (need, urgency) => this.#workers.hasRoom(need, urgency),
        nowMs: this.#nowMs,
        deferredCredit: this.#turns,
      });
      if (chosen === undefined) return;
      if ("origin" in chosen) this.#ask(chosen as PeerCandidate);
      else this.#startOwn(chosen as Item);
    }
  }

  /** Refuses what nobody waits for any more. */
  #expire(): void {
    for (const item of this.#queue.expire(this.#nowMs)) {
      this.#world.outcomes.settle(item, "refused");
    }
  }

  *#candidates(): Generator<Candidate> {
    if (this.pool.totals().free.slots < 1) return;
    yield* this.#queue.heads();
    yield* this.#backlogs.candidates(this.#nowMs);
  }

  #startOwn(item: Item): void {
    this.#queue.take(item, this.#nowMs);
    this.#noteChange();
    this.#start(item, this);
  }

  #ask(candidate: PeerCandidate): void {
    const worker = this.#workers.take(candidate.need);
    this.#backlogs.recordRequest(candidate);
    this.#shares.charge(candidate.team, candidate.need);
    const reservation = { worker, candidate };
    this.#reservations.add(reservation);
    const holder = this.#world.instances.find(({ id }) =>
      id === candidate.origin
    )!;
    this.#world.network.send(
      holder,
      "ready",
      () => holder.#onReady(this, reservation),
    );
  }

  #unreserve(reservation: Reservation): void {
    if (!this.#reservations.delete(reservation)) return;
    this.#backlogs.recordResponse(reservation.candidate);
    const { team, need } = reservation.candidate;
    this.#shares.refund(team, need);
    this.pool.release(reservation.worker, need);
  }

  #onReady(owner: Instance, reservation: Reservation): void {
    const item = selectNext(this.#queue.heads(), {
      shares: this.#shares,
      hasCapacity: (need) => fits(need, reservation.candidate.need),
      nowMs: this.#nowMs,
      deferredCredit: this.#turns,
    }) as Item | undefined;
    if (item !== undefined) {
      this.#sendRun(item, { owner, reservation });
      this.#noteChange();
      return;
    }
    const news = this.#news();
    this.#world.network.send(owner, "decline", () => {
      owner.#unreserve(reservation);
      owner.#onNews(this, news);
      owner.#fill();
    });
  }

  #start(item: Item, holder: Instance): void {
    const worker = this.#workers.take(item.need);
    this.#use(item.team, 1);
    if (holder === this) this.#sent.set(item.id, { item, owner: this });
    const failing = this.#world.badWorkers.has(worker);
    if (!failing) this.#world.outcomes.start(item, this.#nowMs);
    this.#workers.started(worker);
    this.#world.events.after(failing ? FAILURE_MS : item.serviceMs, () => {
      this.#end(item, { holder, worker, failed: failing });
    });
  }

  #end(
    item: Item,
    at: {
      readonly holder: Instance;
      readonly worker: string;
      readonly failed: boolean;
    },
  ): void {
    const { holder, worker, failed } = at;
    if (!this.alive) return;
    const freed = () => this.#fill();
    this.#workers.ended(item, { worker, failed, freed });
    this.#use(item.team, -1);
    if (failed) this.#world.outcomes.failed++;
    else this.#world.outcomes.end(item, this.#nowMs);
    this.#reply(item, { holder, answer: failed ? "failed" : "done" });
    this.#noteChange();
    this.#fill();
  }

  #use(team: string, slots: number): void {
    const need = { ...zeroResources, slots };
    this.#usage.set(team, add(this.#usage.get(team) ?? zeroResources, need));
    this.#shares.advance(this.#nowMs);
    this.#shares.charge(team, need);
  }

  #noteQueued(item: Item): void {
    this.#note(item.urgency === "urgent" ? "pressing" : "ordinary");
  }

  #noteChange(): void {
    this.#note("ordinary");
  }

  #note(change: "pressing" | "ordinary"): void {
    const before = this.#announcer.dueAtMs;
    this.#announcer.recordChange(change, this.#nowMs);
    const { dueAtMs } = this.#announcer;
    if (dueAtMs >= before) return;
    this.#world.events.after(dueAtMs - this.#nowMs, () => this.#announce());
  }

  #announce(): void {
    if (!this.alive || this.#nowMs < this.#announcer.dueAtMs) return;
    this.#announcer.recordSent(this.#nowMs);
    if (this.#queue.urgentWaiting > 0) this.#renewLater(this.#nowMs);
    const news = this.#news();
    for (const peer of this.#world.instances) {
      if (peer === this || !peer.alive) continue;
      this.#world.network.send(peer, "news", () => {
        peer.#onNews(this, news);
        peer.#fill();
      });
    }
  }

  /** Urgent work is announced again as long as it waits and nothing else was sent. */
  #renewLater(sentAtMs: number): void {
    this.#sentAtMs = sentAtMs;
    this.#world.events.after(URGENT_REPORT_TTL_MS, () => {
      if (this.#sentAtMs === sentAtMs && this.#queue.urgentWaiting > 0) {
        this.#note("pressing");
      }
    });
  }

  #news(): News {
    return {
      backlogs: this.#queue.summary(this.#nowMs),
      free: this.pool.totals().free,
      usage: new Map(this.#usage),
    };
  }

  #onNews(from: Instance, news: News): void {
    const { backlogs, free, usage } = news;
    this.#shares.advance(this.#nowMs);
    this.#backlogs.set(from.id, { backlogs, receivedAtMs: this.#nowMs });
    this.#rooms.set(from.id, free);
    this.#peerUsage.set(from.id, usage);
  }
}
