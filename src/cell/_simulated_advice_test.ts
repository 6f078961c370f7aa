/**
 * An advice service in memory, for tests of how steps wait for advice.
 *
 * @module
 */
import { type ManualClock, sleep } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { Advice } from "./types.ts";

/** One request that the service has received. */
export interface ReceivedRequest {
  /** When it was sent, monotonic milliseconds. */
  readonly atMs: number;
  readonly step: string;
  readonly workers: readonly string[];
}

/** Behavior of a {@linkcode SimulatedAdvice}. */
export interface SimulatedAdviceOptions {
  /** Whether a worker may run a step. */
  readonly allows: (worker: string, step: string) => boolean;
  /** The process of a worker now. Its tickets end with it. */
  readonly processOf?: (worker: string) => number;
  /** Number of channels; each is served one request at a time. */
  readonly channels?: number;
  /** Network round trip, milliseconds. */
  readonly roundTripMs?: number;
}

/** Answers advice requests in their expected time. */
export class SimulatedAdvice {
  readonly received: ReceivedRequest[] = [];
  readonly dispatcher: AdviceDispatcher;
  readonly #clock: ManualClock;
  readonly #options: SimulatedAdviceOptions;
  readonly #freeAtMs = new Map<string, number>();

  constructor(clock: ManualClock, options: SimulatedAdviceOptions) {
    this.#clock = clock;
    this.#options = options;
    const channels = Array.from(
      { length: options.channels ?? 1 },
      (_, index) => `instance-${index}`,
    );
    this.dispatcher = new AdviceDispatcher(
      (channel, request) => this.#answer(channel, request),
      () => channels,
      { clock, metrics: new Metrics() },
    );
  }

  async #answer(
    channel: string,
    { step, workers, expectedMs }: {
      readonly step: string;
      readonly workers: readonly string[];
      readonly expectedMs: number;
    },
  ): Promise<Advice> {
    const { allows, processOf, roundTripMs = 0 } = this.#options;
    const atMs = this.#clock.monotonic();
    this.received.push({ atMs, step, workers });
    const endMs = Math.max(atMs, this.#freeAtMs.get(channel) ?? 0) + expectedMs;
    this.#freeAtMs.set(channel, endMs);
    await sleep(this.#clock, endMs + roundTripMs - atMs);
    const good = workers.filter((worker) => allows(worker, step));
    return {
      type: "advised",
      tickets: new Map(good.map((worker) => {
        const process = processOf === undefined ? "" : ` ${processOf(worker)}`;
        return [worker, `${step} ${worker}${process}`];
      })),
    };
  }
}
