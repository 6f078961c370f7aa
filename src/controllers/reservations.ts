/**
 * Capacity for tasks, reserved at the owners of workers until the attempts of
 * the tasks are written to the journal.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Workload } from "../operator_set.ts";
import type { Peers } from "../ports/peers.ts";
import type { Resources } from "../types.ts";
import { cancelReservationNotice, reserveCall } from "../wire/dispatch.ts";
import type { Placement } from "./placement.ts";

/** Capacity reserved for a task is released after this time, milliseconds. */
export const RESERVATION_TIMEOUT_MS = 5_000;
/** Timeout of calls to another instance, milliseconds. */
const PEER_TIMEOUT_MS = 3_000;

/** Capacity reserved for one task at one instance. */
export interface TaskOffer {
  readonly offer: string;
  readonly worker: string;
  readonly fence: number;
  /** Id of the instance that owns the worker. */
  readonly owner: string;
}

/** Dependencies of {@linkcode Reservations}. */
export interface ReservationsOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly placement: Placement;
}

/** Reserves capacity at this instance and at the peers. */
export class Reservations {
  readonly #options: ReservationsOptions;

  constructor(options: ReservationsOptions) {
    this.#options = options;
    const { peers, placement } = options;
    peers.serve(reserveCall, ({ reservation, count, ...task }) => ({
      offers: this.#reserveLocally(reservation, { ...task, count }),
    }));
    peers.onNotification(cancelReservationNotice, ({ reservation }) => {
      placement.offers.cancel(reservation);
    });
  }

  /**
   * Reserves capacity for several tasks at an instance. Resolves with at most
   * `count` offers, with none if the call fails.
   */
  async reserveAt(
    owner: string,
    wanted: {
      readonly reservation: string;
      readonly team: string;
      readonly workload: Workload;
      readonly count: number;
    },
  ): Promise<TaskOffer[]> {
    const { peers, self } = this.#options;
    const { reservation, team, workload, count } = wanted;
    const task = { team, workload: workload.name, need: workload.resources };
    if (owner === self) {
      const offers = this.#reserveLocally(reservation, {
        ...task,
        count,
        avoid: [],
      });
      return offers.map((offer) => ({ ...offer, owner }));
    }
    const response = await peers.call(owner, reserveCall, {
      params: { reservation, ...task, count, avoid: [] },
      timeoutMs: PEER_TIMEOUT_MS,
    });
    const offers = response.map((result) => result.offers).unwrapOr([]);
    return offers.map((offer) => ({ ...offer, owner }));
  }

  /** Cancels a reservation, also one whose response was lost. */
  cancelAt(owner: string, reservation: string): void {
    const { peers, placement, self } = this.#options;
    if (owner === self) placement.offers.cancel(reservation);
    else peers.notify(owner, cancelReservationNotice, { reservation });
  }

  #reserveLocally(
    reservation: string,
    wanted: {
      readonly team: string;
      readonly workload: string;
      readonly need: Resources;
      readonly count: number;
      readonly avoid: readonly string[];
    },
  ): Omit<TaskOffer, "owner">[] {
    const { placement } = this.#options;
    const { team } = wanted;
    const need = placement.sizeOf(wanted);
    const offers: Omit<TaskOffer, "owner">[] = [];
    while (offers.length < wanted.count && placement.leavesHeadroom(need)) {
      const reserved = placement.reserve({ ...wanted, need }, wanted.avoid);
      if (reserved.type === "none") break;
      const offer = offers.length === 0 ? reservation : randomUUID();
      const { place } = reserved;
      const reservedCapacity = { offer, ...place, team, need, reservation };
      if (!placement.offers.add(reservedCapacity, RESERVATION_TIMEOUT_MS)) {
        placement.release(reservedCapacity);
        return [];
      }
      offers.push({ offer, ...place });
    }
    return offers;
  }
}
