/**
 * Room for tasks that is held at owners until the tasks are written ahead.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Workload } from "../operator_set.ts";
import type { Peers } from "../ports/peers.ts";
import type { Resources } from "../types.ts";
import { cancelReservationNotice, reserveCall } from "../wire/dispatch.ts";
import type { Placement } from "./placement.ts";

/** Room that was reserved for a task is free again after so long, milliseconds. */
export const RESERVE_LAPSE_MS = 5_000;
/** Longest wait for another instance, milliseconds. */
const PEER_WAIT_MS = 3_000;

/** Room for one task at one instance. */
export interface TaskOffer {
  readonly offer: string;
  readonly worker: string;
  readonly fence: number;
  /** The worker's owner. */
  readonly owner: string;
}

/** What the controller needs. */
export interface ReservationsOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly placement: Placement;
}

/** Reserves room here and at the peers. */
export class Reservations {
  readonly #options: ReservationsOptions;

  constructor(options: ReservationsOptions) {
    this.#options = options;
    const { peers, placement } = options;
    peers.serve(reserveCall, ({ reservation, count, ...task }) => ({
      offers: this.#reserveHere(reservation, { ...task, count }),
    }));
    peers.onNotification(cancelReservationNotice, ({ reservation }) => {
      placement.offers.cancel(reservation);
    });
  }

  /** Asks an instance for room for several tasks. */
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
      const rooms = this.#reserveHere(reservation, {
        ...task,
        count,
        avoid: [],
      });
      return rooms.map((room) => ({ ...room, owner }));
    }
    const answer = await peers.call(owner, reserveCall, {
      params: { reservation, ...task, count, avoid: [] },
      timeoutMs: PEER_WAIT_MS,
    });
    const offers = answer.map((given) => given.offers).unwrapOr([]);
    return offers.map((offer) => ({ ...offer, owner }));
  }

  /** Gives up a reservation, also one whose answer was not heard. */
  cancelAt(owner: string, reservation: string): void {
    const { peers, placement, self } = this.#options;
    if (owner === self) placement.offers.cancel(reservation);
    else peers.notify(owner, cancelReservationNotice, { reservation });
  }

  #reserveHere(
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
      const room = { offer, ...place, team, need, reservation };
      if (!placement.offers.hold(room, RESERVE_LAPSE_MS)) {
        placement.giveBack(room);
        return [];
      }
      offers.push({ offer, ...place });
    }
    return offers;
  }
}
