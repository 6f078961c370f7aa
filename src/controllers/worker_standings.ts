/**
 * The standing of the owned workers by how their runs end, here and at the
 * peers.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import { Quarantine } from "../policy/quarantine.ts";
import type { Peers } from "../ports/peers.ts";
import { failureCountsNotice } from "../wire/dispatch.ts";

/** Time between two messages to the peers, milliseconds. */
const TELL_INTERVAL_MS = 2_000;

/** How a run on a worker ended. */
export type Ending =
  | "succeeded"
  | "failed"
  /** The worker would not run it. */
  | "refused"
  /** Nothing can be said of the worker. */
  | "unknown";

/** One run on a worker. */
export interface Run {
  readonly workload: string;
  readonly ending: Ending;
  readonly tookMs: number;
}

/** What the controller needs. */
export interface WorkerStandingsOptions {
  readonly peers: Peers;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
  readonly clock: Clock;
  readonly log: Log;
}

/** Takes workers out of use that fail what they run, and lets them be probed. */
export class WorkerStandings {
  readonly #quarantine = new Quarantine();
  readonly #options: WorkerStandingsOptions;
  readonly #clock: Clock;
  #timer: Timer | undefined;

  constructor(options: WorkerStandingsOptions) {
    this.#options = options;
    this.#clock = options.clock;
    const { peers } = options;
    peers.onNotification(failureCountsNotice, ({ counts }, from) => {
      this.#quarantine.setPeerCounts(from, counts);
    });
    peers.onDisconnect((peer) => this.#quarantine.setPeerCounts(peer, []));
    this.#tellLater();
  }

  /** Ends the timer. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Adds a worker in good standing. */
  add(worker: string): void {
    this.#quarantine.add(worker);
  }

  /** Forgets a worker. */
  remove(worker: string): void {
    this.#quarantine.remove(worker);
  }

  /** Whether new work may be placed on a worker. */
  allows(worker: string): boolean {
    const nowMs = this.#clock.monotonic();
    return this.#quarantine.standing(worker, nowMs).type !== "quarantined";
  }

  /** Notes that room was taken on a worker; a probing worker gets no more until the run has ended. */
  roomTaken(worker: string): void {
    const nowMs = this.#clock.monotonic();
    if (this.#quarantine.standing(worker, nowMs).type !== "probing") return;
    this.#quarantine.beginProbe(worker, nowMs);
  }

  /** Notes the end of a run. */
  ran(worker: string, { workload, ending }: Run): void {
    const failed = isFailure(ending);
    if (failed === undefined) return;
    const nowMs = this.#clock.monotonic();
    const before = this.#quarantine.standing(worker, nowMs);
    const after = this.#quarantine.record({ worker, workload, failed, nowMs });
    if (before.type === after.type) return;
    const standing = after.type;
    this.#options.log.warn("worker.standing", { worker, standing });
  }

  #tellLater(): void {
    this.#timer = this.#clock.after(TELL_INTERVAL_MS, () => {
      this.#tell();
      this.#tellLater();
    });
  }

  #tell(): void {
    const { members, peers } = this.#options;
    const counts = this.#quarantine.counts(this.#clock.monotonic());
    if (counts.length === 0) return;
    for (const peer of members()) {
      peers.notify(peer, failureCountsNotice, { counts });
    }
  }
}

/** Whether an ending speaks against the worker; `undefined` if it says nothing. */
function isFailure(ending: Ending): boolean | undefined {
  switch (ending) {
    case "succeeded":
      return false;
    case "failed":
    case "refused":
      return true;
    case "unknown":
      return undefined;
    default:
      return assertNever(ending);
  }
}
