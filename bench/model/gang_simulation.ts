/**
 * Simulates gangs that reserve capacity at several owners over links that
 * delay and lose messages. The owners use the product's {@linkcode Offers}.
 *
 * @module
 */
import type { Clock } from "../../src/clock.ts";
import { Offers, type ReservedCapacity } from "../../src/controllers/offers.ts";
import { WorkerPool } from "../../src/policy/worker_pool.ts";
import type { Random } from "../random.ts";
import { EventQueue } from "./event_queue.ts";

/** What the origin does with a reservation that did not get all the capacity it needs. */
export type AbandonPolicy =
  /** Nothing: the offers expire. */
  | "expiry"
  /** A message releases the offers; an offer made after that expires. */
  | "cancel"
  /** As `cancel`, and the owner rejects later requests for the reservation. */
  | "barrier";

/** Options of a simulation. */
export interface GangOptions {
  readonly abandonPolicy: AbandonPolicy;
  readonly offerTtlMs: number;
  /** Share of the messages that are delayed. */
  readonly delayedShare: number;
  /** Share of the messages that are lost. */
  readonly lostShare: number;
  readonly untilMs: number;
  /** Source of delays, losses and retry delays. */
  readonly random: Random;
  /** Source of the gangs, so that every policy gets the same ones. */
  readonly arrivals: Random;
}

/** Result of a simulation. */
export interface GangResult {
  /** Capacity reserved for reservations after they were abandoned, slot-seconds. */
  strandedSlotSeconds: number;
  /** Number of gangs that started only in part. */
  halfGangs: number;
  messages: number;
  arrived: number;
  /** Time from arrival to the start of the whole gang, milliseconds. */
  readonly placedMs: number[];
}

const OWNERS = 8;
const WORKERS = 30;
const SLOTS = 8;
const ARRIVALS_PER_SECOND = 2.5;
const MIN_GANG_SIZE = 8;
const MAX_GANG_SIZE = 48;
const RUN_MS = 2_000;
const HOP_MS = 1;
const MAX_DELAY_MS = 6_000;
const CALL_TIMEOUT_MS = 500;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
const NEED = { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 1 };

interface Gang {
  readonly size: number;
  readonly arrivedMs: number;
  retryDelayMs: number;
}

interface CapacityOffer {
  readonly id: string;
  readonly owner: Owner;
}

class Owner {
  readonly offers: Offers;
  readonly #pool = new WorkerPool();
  readonly #byReservation = new Map<string, string[]>();
  readonly #options: GangOptions;
  #count = 0;

  constructor(
    name: string,
    options: {
      readonly run: GangOptions;
      readonly clock: Clock;
      readonly workers: number;
      readonly released: (capacity: ReservedCapacity) => void;
    },
  ) {
    this.#options = options.run;
    for (let worker = 0; worker < options.workers; worker++) {
      this.#pool.upsert(workerOf(`${name}.${worker}`));
    }
    this.offers = new Offers({
      pool: this.#pool,
      clock: options.clock,
      onReleased: options.released,
    });
  }

  /** Reserves capacity for up to `count` tasks. */
  reserve(reservation: string, count: number): CapacityOffer[] {
    const offers: CapacityOffer[] = [];
    while (offers.length < count) {
      const id = this.#makeOffer(reservation);
      if (id === undefined) break;
      offers.push({ id, owner: this });
    }
    const ids = offers.map(({ id }) => id);
    this.#byReservation.set(reservation, ids);
    return offers;
  }

  /** Cancels a reservation by the policy of the simulation. */
  cancel(reservation: string): void {
    if (this.#options.abandonPolicy === "barrier") {
      return this.offers.cancel(reservation);
    }
    for (const id of this.#byReservation.get(reservation) ?? []) {
      this.offers.release(id);
    }
  }

  /** Starts a task in the reserved capacity of an offer; `undefined` if the offer has expired. */
  start(offer: string): ReservedCapacity | undefined {
    return this.offers.take(offer);
  }

  /** Frees the capacity of a task. */
  end(capacity: ReservedCapacity): void {
    this.#pool.release(capacity.worker, capacity.need);
  }

  #makeOffer(reservation: string): string | undefined {
    const worker = this.#pool.findWorker(NEED);
    if (worker === undefined || !this.#pool.allocate(worker, NEED)) return;
    const offer = `${reservation}.${worker}.${this.#count++}`;
    const common = { offer, worker, team: "t", need: NEED, fence: 1 };
    const capacity = { ...common, reservation, allowed: true };
    if (this.offers.add(capacity, this.#options.offerTtlMs)) return offer;
    this.#pool.release(worker, NEED);
    return undefined;
  }
}

/** Simulation of gangs and owners. */
export class GangSimulation {
  readonly result: GangResult = {
    strandedSlotSeconds: 0,
    halfGangs: 0,
    messages: 0,
    arrived: 0,
    placedMs: [],
  };
  readonly #options: GangOptions;
  readonly #events = new EventQueue();
  readonly #owners: Owner[];
  readonly #offeredAtMs = new Map<string, number>();
  readonly #abandonedAtMs = new Map<string, number>();
  #reservations = 0;

  constructor(options: GangOptions) {
    this.#options = options;
    const clock = clockOf(this.#events);
    this.#owners = Array.from(
      { length: OWNERS },
      (_, index) =>
        new Owner(`o${index}`, {
          run: options,
          clock,
          workers: Math.floor((WORKERS + index) / OWNERS),
          released: (capacity) => this.#onReleased(capacity),
        }),
    );
  }

  /** Runs the simulation. */
  run(): GangResult {
    this.#scheduleArrival();
    this.#events.runUntil(this.#options.untilMs);
    return this.result;
  }

  #scheduleArrival(): void {
    const { arrivals, untilMs } = this.#options;
    const gapMs = arrivals.exponential(1000 / ARRIVALS_PER_SECOND);
    this.#events.after(gapMs, () => {
      if (this.#events.nowMs > untilMs - MAX_DELAY_MS) return;
      const size = MIN_GANG_SIZE +
        arrivals.integerBelow(MAX_GANG_SIZE - MIN_GANG_SIZE);
      const arrivedMs = this.#events.nowMs;
      this.result.arrived++;
      this.#attempt({ size, arrivedMs, retryDelayMs: INITIAL_RETRY_DELAY_MS });
      this.#scheduleArrival();
    });
  }

  #attempt(gang: Gang): void {
    const reservation = `r${this.#reservations++}`;
    this.#reserveAt(gang, { reservation, owner: 0, offers: [] });
  }

  /** Reserves at the owners one after the other, in a fixed order. */
  #reserveAt(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly offers: readonly CapacityOffer[];
    },
  ): void {
    const { reservation, offers } = step;
    if (offers.length === gang.size) return this.#start(gang, step);
    const owner = this.#owners[step.owner];
    if (owner === undefined) {
      return this.#abandon(gang, { reservation, contacted: this.#owners });
    }
    const count = gang.size - offers.length;
    this.#call(() => this.#reserve(owner, { reservation, count }), (made) => {
      const next = [...offers, ...(made ?? [])];
      this.#reserveAt(gang, {
        reservation,
        owner: step.owner + 1,
        offers: next,
      });
    });
  }

  #reserve(
    owner: Owner,
    wanted: { readonly reservation: string; readonly count: number },
  ): CapacityOffer[] {
    const offers = owner.reserve(wanted.reservation, wanted.count);
    for (const { id } of offers) this.#offeredAtMs.set(id, this.#events.nowMs);
    return offers;
  }

  #abandon(
    gang: Gang,
    { reservation, contacted }: {
      readonly reservation: string;
      readonly contacted: readonly Owner[];
    },
  ): void {
    this.#abandonedAtMs.set(reservation, this.#events.nowMs);
    if (this.#options.abandonPolicy !== "expiry") {
      for (const owner of contacted) {
        this.#send(() => owner.cancel(reservation));
      }
    }
    const delayMs = gang.retryDelayMs * this.#options.random.between(0.5, 1.5);
    gang.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, gang.retryDelayMs * 2);
    this.#events.after(delayMs, () => this.#attempt(gang));
  }

  #start(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly offers: readonly CapacityOffer[];
    },
  ): void {
    const reservedCapacities: {
      readonly owner: Owner;
      readonly capacity: ReservedCapacity;
    }[] = [];
    let open = this.#owners.length;
    for (const owner of this.#owners) {
      const offers = step.offers.filter((offer) => offer.owner === owner);
      const onResponse = (started: readonly ReservedCapacity[] = []) => {
        reservedCapacities.push(
          ...started.map((capacity) => ({ owner, capacity })),
        );
        open--;
        if (open === 0) this.#onStarted(gang, { ...step, reservedCapacities });
      };
      if (offers.length === 0) onResponse();
      else this.#call(() => this.#startAt(owner, offers), onResponse);
    }
  }

  #startAt(owner: Owner, offers: readonly CapacityOffer[]): ReservedCapacity[] {
    const reservedCapacities = offers.flatMap(({ id }) =>
      owner.start(id) ?? []
    );
    for (const capacity of reservedCapacities) {
      this.#events.after(RUN_MS, () => owner.end(capacity));
    }
    return reservedCapacities;
  }

  #onStarted(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly reservedCapacities: readonly unknown[];
    },
  ): void {
    if (step.reservedCapacities.length === gang.size) {
      this.result.placedMs.push(this.#events.nowMs - gang.arrivedMs);
      return;
    }
    this.result.halfGangs++;
    const { reservation } = step;
    const contacted = this.#owners.slice(0, step.owner);
    this.#abandon(gang, { reservation, contacted });
  }

  #onReleased({ offer, reservation }: ReservedCapacity): void {
    const abandonedAtMs = this.#abandonedAtMs.get(reservation);
    const offeredAtMs = this.#offeredAtMs.get(offer);
    this.#offeredAtMs.delete(offer);
    if (abandonedAtMs === undefined || offeredAtMs === undefined) return;
    const strandedMs = this.#events.nowMs -
      Math.max(abandonedAtMs, offeredAtMs);
    this.result.strandedSlotSeconds += strandedMs / 1000;
  }

  /** Sends a request and passes on the response, or `undefined` after the timeout. */
  #call<T>(
    request: () => T,
    onResponse: (response: T | undefined) => void,
  ): void {
    let open = true;
    const complete = (response: T | undefined) => {
      if (!open) return;
      open = false;
      onResponse(response);
    };
    this.#send(() => {
      const response = request();
      this.#send(() => complete(response));
    });
    this.#events.after(CALL_TIMEOUT_MS, () => complete(undefined));
  }

  #send(deliver: () => void): void {
    const { random, delayedShare, lostShare } = this.#options;
    this.result.messages++;
    const luck = random.uniform();
    if (luck < lostShare) return;
    const isLate = luck < lostShare + delayedShare;
    const delayMs = isLate ? random.between(HOP_MS, MAX_DELAY_MS) : HOP_MS;
    this.#events.after(delayMs, deliver);
  }
}

function clockOf(events: EventQueue): Clock {
  return {
    monotonic: () => events.nowMs,
    now: () => new Date(events.nowMs),
    after(delayMs, action) {
      let open = true;
      events.after(delayMs, () => {
        if (open) action();
      });
      return { cancel: () => open = false };
    },
  };
}

function workerOf(id: string) {
  const capacity = {
    cpuMillis: SLOTS,
    memoryMib: SLOTS,
    accelerators: 0,
    slots: SLOTS,
  };
  const place = { zone: "z", rack: "r", connections: 60 };
  return { id, address: "127.0.0.1:1", capacity, ...place };
}
