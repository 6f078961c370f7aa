/**
 * Gangs that reserve room at several owners over links that delay and lose
 * messages. Owners keep the product's book of offers.
 *
 * @module
 */
import type { Clock } from "../../src/clock.ts";
import { Offers, type ReservedCapacity } from "../../src/controllers/offers.ts";
import { WorkerPool } from "../../src/policy/worker_pool.ts";
import type { Random } from "../random.ts";
import { Events } from "./events.ts";

/** What a holder does with a reservation that did not find all its room. */
export type GiveUp =
  /** Nothing: the offers lapse. */
  | "expiry"
  /** Offers are released by a message; one that is made later lapses. */
  | "cancel"
  /** As `cancel`, and the owner refuses what comes later. */
  | "barrier";

/** A run. */
export interface GangOptions {
  readonly giveUp: GiveUp;
  readonly lapseMs: number;
  /** Part of the messages that come late. */
  readonly late: number;
  /** Part of the messages that never come. */
  readonly lost: number;
  readonly untilMs: number;
  /** Draws the fate of messages and the pauses. */
  readonly random: Random;
  /** Draws the gangs, the same ones for every way. */
  readonly arrivals: Random;
}

/** What a run gave. */
export interface GangRun {
  /** Room held for reservations that had been given up, slot-seconds. */
  strandedSlotSeconds: number;
  /** Gangs of which only a part was started. */
  halfGangs: number;
  messages: number;
  arrived: number;
  /** Time from arrival to the start of the whole gang, milliseconds. */
  readonly placedMs: number[];
}

const OWNERS = 8;
const WORKERS = 30;
const SLOTS = 8;
const ARRIVALS_A_SECOND = 2.5;
const SMALLEST_GANG = 8;
const LARGEST_GANG = 48;
const RUN_MS = 2_000;
const HOP_MS = 1;
const LATEST_MS = 6_000;
const CALL_MS = 500;
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2_000;
const NEED = { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 1 };

interface Gang {
  readonly size: number;
  readonly arrivedMs: number;
  pauseMs: number;
}

interface Offer {
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
      readonly released: (room: ReservedCapacity) => void;
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

  /** Holds room for up to `count` tasks. */
  reserve(reservation: string, count: number): Offer[] {
    const offers: Offer[] = [];
    while (offers.length < count) {
      const id = this.#hold(reservation);
      if (id === undefined) break;
      offers.push({ id, owner: this });
    }
    const ids = offers.map(({ id }) => id);
    this.#byReservation.set(reservation, ids);
    return offers;
  }

  /** Gives up a reservation as the run has it. */
  cancel(reservation: string): void {
    if (this.#options.giveUp === "barrier") {
      return this.offers.cancel(reservation);
    }
    for (const id of this.#byReservation.get(reservation) ?? []) {
      this.offers.release(id);
    }
  }

  /** Starts a task in held room; `undefined` if it has lapsed. */
  start(offer: string): ReservedCapacity | undefined {
    return this.offers.take(offer);
  }

  /** Frees a task's room. */
  end(room: ReservedCapacity): void {
    this.#pool.release(room.worker, room.need);
  }

  #hold(reservation: string): string | undefined {
    const worker = this.#pool.findWorker(NEED);
    if (worker === undefined || !this.#pool.allocate(worker, NEED)) return;
    const offer = `${reservation}.${worker}.${this.#count++}`;
    const common = { offer, worker, team: "t", need: NEED, fence: 1 };
    const room = { ...common, reservation, allowed: true };
    if (this.offers.add(room, this.#options.lapseMs)) return offer;
    this.#pool.release(worker, NEED);
    return undefined;
  }
}

/** One cell of owners and gangs. */
export class GangCell {
  readonly result: GangRun = {
    strandedSlotSeconds: 0,
    halfGangs: 0,
    messages: 0,
    arrived: 0,
    placedMs: [],
  };
  readonly #options: GangOptions;
  readonly #events = new Events();
  readonly #owners: Owner[];
  readonly #heldSince = new Map<string, number>();
  readonly #givenUp = new Map<string, number>();
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
          released: (room) => this.#released(room),
        }),
    );
  }

  /** Runs to the end. */
  run(): GangRun {
    this.#arrive();
    this.#events.run(this.#options.untilMs);
    return this.result;
  }

  #arrive(): void {
    const { arrivals, untilMs } = this.#options;
    const gapMs = arrivals.exponential(1000 / ARRIVALS_A_SECOND);
    this.#events.after(gapMs, () => {
      if (this.#events.nowMs > untilMs - LATEST_MS) return;
      const size = SMALLEST_GANG + arrivals.below(LARGEST_GANG - SMALLEST_GANG);
      const arrivedMs = this.#events.nowMs;
      this.result.arrived++;
      this.#attempt({ size, arrivedMs, pauseMs: FIRST_PAUSE_MS });
      this.#arrive();
    });
  }

  #attempt(gang: Gang): void {
    const reservation = `r${this.#reservations++}`;
    this.#reserveAt(gang, { reservation, owner: 0, offers: [] });
  }

  /** Reserves at one owner after the other in a fixed order. */
  #reserveAt(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly offers: readonly Offer[];
    },
  ): void {
    const { reservation, offers } = step;
    if (offers.length === gang.size) return this.#start(gang, step);
    const owner = this.#owners[step.owner];
    if (owner === undefined) {
      return this.#giveUp(gang, { reservation, asked: this.#owners });
    }
    const count = gang.size - offers.length;
    this.#call(() => this.#reserve(owner, { reservation, count }), (given) => {
      const next = [...offers, ...(given ?? [])];
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
  ): Offer[] {
    const offers = owner.reserve(wanted.reservation, wanted.count);
    for (const { id } of offers) this.#heldSince.set(id, this.#events.nowMs);
    return offers;
  }

  #giveUp(
    gang: Gang,
    { reservation, asked }: {
      readonly reservation: string;
      readonly asked: readonly Owner[];
    },
  ): void {
    this.#givenUp.set(reservation, this.#events.nowMs);
    if (this.#options.giveUp !== "expiry") {
      for (const owner of asked) {
        this.#send(() => owner.cancel(reservation));
      }
    }
    const pauseMs = gang.pauseMs * this.#options.random.between(0.5, 1.5);
    gang.pauseMs = Math.min(LONGEST_PAUSE_MS, gang.pauseMs * 2);
    this.#events.after(pauseMs, () => this.#attempt(gang));
  }

  #start(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly offers: readonly Offer[];
    },
  ): void {
    const rooms: { readonly owner: Owner; readonly room: ReservedCapacity }[] =
      [];
    let open = this.#owners.length;
    for (const owner of this.#owners) {
      const offers = step.offers.filter((offer) => offer.owner === owner);
      const started = (given: readonly ReservedCapacity[] = []) => {
        rooms.push(...given.map((room) => ({ owner, room })));
        open--;
        if (open === 0) this.#started(gang, { ...step, rooms });
      };
      if (offers.length === 0) started();
      else this.#call(() => this.#startAt(owner, offers), started);
    }
  }

  #startAt(owner: Owner, offers: readonly Offer[]): ReservedCapacity[] {
    const rooms = offers.flatMap(({ id }) => owner.start(id) ?? []);
    for (const room of rooms) {
      this.#events.after(RUN_MS, () => owner.end(room));
    }
    return rooms;
  }

  #started(
    gang: Gang,
    step: {
      readonly reservation: string;
      readonly owner: number;
      readonly rooms: readonly unknown[];
    },
  ): void {
    if (step.rooms.length === gang.size) {
      this.result.placedMs.push(this.#events.nowMs - gang.arrivedMs);
      return;
    }
    this.result.halfGangs++;
    const { reservation } = step;
    const asked = this.#owners.slice(0, step.owner);
    this.#giveUp(gang, { reservation, asked });
  }

  #released({ offer, reservation }: ReservedCapacity): void {
    const givenUp = this.#givenUp.get(reservation);
    const since = this.#heldSince.get(offer);
    this.#heldSince.delete(offer);
    if (givenUp === undefined || since === undefined) return;
    const strandedMs = this.#events.nowMs - Math.max(givenUp, since);
    this.result.strandedSlotSeconds += strandedMs / 1000;
  }

  /** Asks and gives the answer, or nothing once the time is up. */
  #call<T>(ask: () => T, answer: (given: T | undefined) => void): void {
    let open = true;
    const settle = (given: T | undefined) => {
      if (!open) return;
      open = false;
      answer(given);
    };
    this.#send(() => {
      const given = ask();
      this.#send(() => settle(given));
    });
    this.#events.after(CALL_MS, () => settle(undefined));
  }

  #send(deliver: () => void): void {
    const { random, late, lost } = this.#options;
    this.result.messages++;
    const luck = random.unit();
    if (luck < lost) return;
    const isLate = luck < lost + late;
    const delayMs = isLate ? random.between(HOP_MS, LATEST_MS) : HOP_MS;
    this.#events.after(delayMs, deliver);
  }
}

function clockOf(events: Events): Clock {
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
