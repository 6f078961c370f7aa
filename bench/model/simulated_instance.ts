/**
 * A simulated instance. It queues the items that arrive at it and schedules
 * the workers that it owns, with the product's policy code.
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
import type { EventQueue } from "./event_queue.ts";
import { InstanceBacklog } from "./instance_backlog.ts";
import type { Endpoint, Network } from "./network.ts";
import { OwnedWorkers, type Protections } from "./owned_workers.ts";
import type { Outcomes } from "./outcomes.ts";
import { type Item, SLOTS } from "./trace.ts";

/** Settings of the simulation. */
export interface SimulationParameters extends Protections {
  readonly hopMs: number;
  readonly ordinaryGapMs: number;
  readonly pressingGapMs: number;
  /** Weights of the teams. */
  readonly weights: ReadonlyMap<string, number>;
}

/** State shared by all instances of a simulation. */
export interface FleetModel {
  readonly events: EventQueue;
  readonly network: Network;
  readonly outcomes: Outcomes;
  readonly parameters: SimulationParameters;
  readonly instances: SimulatedInstance[];
  /** Workers on which every attempt fails after {@linkcode FAILURE_MS}. */
  readonly badWorkers: ReadonlySet<string>;
}

/** Capacity reserved for an item of a peer's backlog, offered to its origin. */
interface Reservation {
  readonly worker: string;
  readonly candidate: PeerCandidate;
}

interface LoadReport {
  readonly backlogs: readonly Backlog[];
  readonly free: Resources;
  readonly usage: ReadonlyMap<string, Resources>;
}

interface SentItem {
  readonly item: Item;
  readonly owner: SimulatedInstance;
}

type RunResponse = "done" | "failed" | "refused";

/** Time until an attempt on a failing worker fails. */
const FAILURE_MS = 5;

/** A simulated instance. */
export class SimulatedInstance implements Endpoint {
  readonly id: string;
  alive = true;
  readonly #model: FleetModel;
  readonly #backlog = new InstanceBacklog();
  readonly #workers: OwnedWorkers;
  readonly #shares = new Shares();
  readonly #turns = new DeferredStartCredit();
  readonly #peerBacklogs: PeerBacklogs;
  readonly #peerCapacities = new PeerCapacities();
  readonly #reportSchedule: LoadReportSchedule;
  readonly #usage = new Map<string, Resources>();
  readonly #peerUsage = new PeerUsage(this.#shares);
  readonly #reservations = new Set<Reservation>();
  readonly #sent = new Map<string, SentItem>();
  #lastReportAtMs = -Infinity;

  constructor(model: FleetModel, id: string) {
    this.#model = model;
    this.id = id;
    this.#workers = new OwnedWorkers(model.events, model.parameters);
    const random = new Random(model.instances.length + 1);
    this.#peerBacklogs = new PeerBacklogs(() => random.uniform());
    this.#reportSchedule = new LoadReportSchedule(model.parameters);
    this.#shares.setCapacity({ ...zeroResources, slots: SLOTS });
    this.#shares.setWeights(model.parameters.weights);
  }

  /** Pool of the workers that this instance owns. */
  get pool(): WorkerPool {
    return this.#workers.pool;
  }

  /** Makes this instance the owner of a worker. */
  own(worker: string, slots: number): void {
    this.#workers.add(worker, slots);
    this.#fill();
  }

  /** Accepts or rejects a request from a caller. */
  arrive(item: Item): void {
    if (!this.#backlog.canAnswer(item, this.#nowMs)) {
      this.#model.outcomes.settle(item, "refused");
      return;
    }
    this.#workers.recordRequest(item);
    this.#backlog.push(item);
    this.#fill();
    if (!this.#backlog.has(item)) return;
    if (!this.#sendToPeer(item)) this.#reportQueued(item);
  }

  /** Items that wait here or were sent to a worker or a peer. */
  pendingItems(): Item[] {
    const waiting = [...this.#backlog.all()];
    return [...waiting, ...[...this.#sent.values()].map(({ item }) => item)];
  }

  /** Drops the state of a failed peer and completes the items sent to it as failed. */
  onPeerLost(peer: SimulatedInstance): void {
    this.#peerBacklogs.forget(peer.id);
    this.#peerCapacities.forget(peer.id);
    this.#peerUsage.forget(peer.id);
    for (const reservation of this.#reservations) {
      if (reservation.candidate.origin === peer.id) {
        this.#releaseReservation(reservation);
      }
    }
    for (const { item, owner } of this.#sent.values()) {
      if (owner === peer) this.#onResponse(item, { owner, response: "failed" });
    }
    this.#fill();
  }

  get #nowMs(): number {
    return this.#model.events.nowMs;
  }

  /** Sends an item to a peer with free capacity, by its last load report. */
  #sendToPeer(item: Item): boolean {
    const margin = this.#workers.reservedFor(item.urgency);
    const owner = this.#peerCapacities.pick(item.need, { margin });
    const peer = this.#model.instances.find(({ id }) => id === owner);
    if (peer === undefined) return false;
    this.#sendRun(item, { owner: peer, reservation: undefined });
    return true;
  }

  #sendRun(
    item: Item,
    to: {
      readonly owner: SimulatedInstance;
      readonly reservation: Reservation | undefined;
    },
  ): void {
    const { owner, reservation } = to;
    this.#backlog.take(item, this.#nowMs);
    this.#sent.set(item.id, { item, owner });
    this.#peerUsage.recordDispatch(owner.id, item);
    const report = this.#loadReport();
    this.#model.network.send(owner, "run", () => {
      owner.#onRun(item, { origin: this, reservation, report });
    });
  }

  #onRun(
    item: Item,
    from: {
      readonly origin: SimulatedInstance;
      readonly reservation: Reservation | undefined;
      readonly report: LoadReport;
    },
  ): void {
    const { origin, reservation } = from;
    this.#workers.recordRequest(item);
    this.#onLoadReport(origin, from.report);
    if (reservation !== undefined) this.#releaseReservation(reservation);
    if (
      this.#workers.hasCapacity(
        item.need,
        reservation ? "urgent" : item.urgency,
      )
    ) {
      this.#start(item, origin);
    } else {
      this.#reply(item, { origin, response: "refused" });
    }
    this.#fill();
  }

  #reply(
    item: Item,
    to: { readonly origin: SimulatedInstance; readonly response: RunResponse },
  ): void {
    const { origin, response } = to;
    if (origin === this) {
      this.#onResponse(item, { owner: this, response });
      return;
    }
    this.#model.network.send(origin, "answer", () => {
      origin.#onResponse(item, { owner: this, response });
    });
  }

  #onResponse(
    item: Item,
    from: { readonly owner: SimulatedInstance; readonly response: RunResponse },
  ): void {
    this.#sent.delete(item.id);
    switch (from.response) {
      case "done":
        return;
      case "refused":
        this.#peerCapacities.set(from.owner.id, zeroResources);
        this.#requeue(item);
        return;
      case "failed":
        if (item.idempotent) this.#requeue(item);
        else this.#model.outcomes.settle(item, "unknown");
    }
  }

  #requeue(item: Item): void {
    this.#backlog.push(item);
    this.#reportQueued(item);
    this.#fill();
  }

  /** Assigns free capacity to the next items, of the own backlog or of a peer's. */
  #fill(): void {
    this.#shares.advance(this.#nowMs);
    this.#expire();
    for (;;) {
      const chosen = selectNext<Candidate>(this.#candidates(), {
        shares: this.#shares,
        hasCapacity: (need, urgency) =>
          this.#workers.hasCapacity(need, urgency),
        nowMs: this.#nowMs,
        deferredCredit: this.#turns,
      });
      if (chosen === undefined) return;
      if ("origin" in chosen) this.#offerCapacity(chosen as PeerCandidate);
      else this.#startOwn(chosen as Item);
    }
  }

  /** Rejects items whose deadline has passed. */
  #expire(): void {
    for (const item of this.#backlog.expire(this.#nowMs)) {
      this.#model.outcomes.settle(item, "refused");
    }
  }

  *#candidates(): Generator<Candidate> {
    if (this.pool.totals().free.slots < 1) return;
    yield* this.#backlog.heads();
    yield* this.#peerBacklogs.candidates(this.#nowMs);
  }

  #startOwn(item: Item): void {
    this.#backlog.take(item, this.#nowMs);
    this.#reportChange();
    this.#start(item, this);
  }

  #offerCapacity(candidate: PeerCandidate): void {
    const worker = this.#workers.take(candidate.need);
    this.#peerBacklogs.recordRequest(candidate);
    this.#shares.charge(candidate.team, candidate.need);
    const reservation = { worker, candidate };
    this.#reservations.add(reservation);
    const origin = this.#model.instances.find(({ id }) =>
      id === candidate.origin
    )!;
    this.#model.network.send(
      origin,
      "ready",
      () => origin.#onOffer(this, reservation),
    );
  }

  #releaseReservation(reservation: Reservation): void {
    if (!this.#reservations.delete(reservation)) return;
    this.#peerBacklogs.recordResponse(reservation.candidate);
    const { team, need } = reservation.candidate;
    this.#shares.refund(team, need);
    this.pool.release(reservation.worker, need);
  }

  #onOffer(owner: SimulatedInstance, reservation: Reservation): void {
    const item = selectNext(this.#backlog.heads(), {
      shares: this.#shares,
      hasCapacity: (need) => fits(need, reservation.candidate.need),
      nowMs: this.#nowMs,
      deferredCredit: this.#turns,
    }) as Item | undefined;
    if (item !== undefined) {
      this.#sendRun(item, { owner, reservation });
      this.#reportChange();
      return;
    }
    const report = this.#loadReport();
    this.#model.network.send(owner, "decline", () => {
      owner.#releaseReservation(reservation);
      owner.#onLoadReport(this, report);
      owner.#fill();
    });
  }

  #start(item: Item, origin: SimulatedInstance): void {
    const worker = this.#workers.take(item.need);
    this.#chargeTeam(item.team, 1);
    if (origin === this) this.#sent.set(item.id, { item, owner: this });
    const failing = this.#model.badWorkers.has(worker);
    if (!failing) this.#model.outcomes.recordStart(item, this.#nowMs);
    this.#workers.recordStart(worker);
    this.#model.events.after(failing ? FAILURE_MS : item.serviceMs, () => {
      this.#end(item, { origin, worker, failed: failing });
    });
  }

  #end(
    item: Item,
    at: {
      readonly origin: SimulatedInstance;
      readonly worker: string;
      readonly failed: boolean;
    },
  ): void {
    const { origin, worker, failed } = at;
    if (!this.alive) return;
    const freed = () => this.#fill();
    this.#workers.recordEnd(item, { worker, failed, freed });
    this.#chargeTeam(item.team, -1);
    if (failed) this.#model.outcomes.failed++;
    else this.#model.outcomes.recordEnd(item, this.#nowMs);
    this.#reply(item, { origin, response: failed ? "failed" : "done" });
    this.#reportChange();
    this.#fill();
  }

  #chargeTeam(team: string, slots: number): void {
    const need = { ...zeroResources, slots };
    this.#usage.set(team, add(this.#usage.get(team) ?? zeroResources, need));
    this.#shares.advance(this.#nowMs);
    this.#shares.charge(team, need);
  }

  #reportQueued(item: Item): void {
    this.#scheduleReport(item.urgency === "urgent" ? "pressing" : "ordinary");
  }

  #reportChange(): void {
    this.#scheduleReport("ordinary");
  }

  #scheduleReport(change: "pressing" | "ordinary"): void {
    const before = this.#reportSchedule.dueAtMs;
    this.#reportSchedule.recordChange(change, this.#nowMs);
    const { dueAtMs } = this.#reportSchedule;
    if (dueAtMs >= before) return;
    this.#model.events.after(
      dueAtMs - this.#nowMs,
      () => this.#sendLoadReport(),
    );
  }

  #sendLoadReport(): void {
    if (!this.alive || this.#nowMs < this.#reportSchedule.dueAtMs) return;
    this.#reportSchedule.recordSent(this.#nowMs);
    if (this.#backlog.urgentWaiting > 0) this.#scheduleRenewal(this.#nowMs);
    const report = this.#loadReport();
    for (const peer of this.#model.instances) {
      if (peer === this || !peer.alive) continue;
      this.#model.network.send(peer, "news", () => {
        peer.#onLoadReport(this, report);
        peer.#fill();
      });
    }
  }

  /** Repeats the load report while urgent work waits and no later report was sent. */
  #scheduleRenewal(sentAtMs: number): void {
    this.#lastReportAtMs = sentAtMs;
    this.#model.events.after(URGENT_REPORT_TTL_MS, () => {
      if (
        this.#lastReportAtMs === sentAtMs && this.#backlog.urgentWaiting > 0
      ) {
        this.#scheduleReport("pressing");
      }
    });
  }

  #loadReport(): LoadReport {
    return {
      backlogs: this.#backlog.summary(this.#nowMs),
      free: this.pool.totals().free,
      usage: new Map(this.#usage),
    };
  }

  #onLoadReport(from: SimulatedInstance, report: LoadReport): void {
    const { backlogs, free, usage } = report;
    this.#shares.advance(this.#nowMs);
    this.#peerBacklogs.set(from.id, { backlogs, receivedAtMs: this.#nowMs });
    this.#peerCapacities.set(from.id, free);
    this.#peerUsage.set(from.id, usage);
  }
}
