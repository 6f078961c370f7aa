/**
 * Asks the advice service through all instances.
 *
 * Nothing waits here: a question is chosen when a lane is free, by what is
 * first in line and has room then.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Metrics } from "../metrics.ts";
import {
  lanesFor,
  type Pace,
  paceOf,
  paceOfQueue,
  placesIn,
  usualMs,
} from "./decisions/lanes.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

/** A call is given up after its expected time, twice, and this, milliseconds. */
const TIMEOUT_SLACK_MS = 400;
/** A lane that failed rests so long, milliseconds. */
const LANE_REST_MS = 1_000;
/** A lane with less under way is empty, milliseconds. */
const LEAST_WORK_MS = 0.01;
/** The instances are looked up anew after this, milliseconds: the line is gone over more often. */
const LANES_FOR_MS = 25;

/** One question. */
export interface Question {
  readonly step: string;
  readonly workers: readonly string[];
  /** How long the service takes, milliseconds. */
  readonly expectedMs: number;
}

/** Carries a question to the service through an instance. */
export type AskThrough = (
  instance: string,
  question: Question,
  options: { readonly timeoutMs: number },
) => Promise<Advice>;

/** The desk of one cell. */
export class AdviceDesk {
  readonly #ask: AskThrough;
  readonly #instances: () => readonly string[];
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  /** What the service needs for the questions under way in each lane, milliseconds. */
  readonly #aheadMs = new Map<string, number>();
  #asking = 0;
  readonly #restUntilMs = new Map<string, number>();
  #lanes: readonly string[] = [];
  #lanesAtMs = -Infinity;
  /** Places by queue's advice, until a question is asked or answered. */
  readonly #places = new Map<AdvicePolicy, number>();
  /** Lanes by class of question that may be used and do not rest. */
  readonly #rested = new Map<Pace, readonly string[]>();

  /** `instances`: those that carry questions now. */
  constructor(
    ask: AskThrough,
    instances: () => readonly string[],
    { clock, metrics }: { readonly clock: Clock; readonly metrics: Metrics },
  ) {
    this.#ask = ask;
    this.#instances = instances;
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Questions under way. */
  get asking(): number {
    return this.#asking;
  }

  /** Questions of a queue that could be asked at once. */
  freeFor(advice: AdvicePolicy): number {
    const pace = paceOfQueue(advice);
    const lanes = this.#lanesFor(pace);
    const known = this.#places.get(advice);
    if (known !== undefined) return known;
    const expectedMs = usualMs(advice);
    const places = lanes.reduce(
      (sum, lane) => sum + this.#placesIn(lane, pace, expectedMs),
      0,
    );
    this.#places.set(advice, places);
    return places;
  }

  /** Asks through a lane that takes the question; `busy` if there is none. */
  async ask(question: Question): Promise<Advice> {
    const { expectedMs } = question;
    const pace = paceOf(expectedMs);
    const lane = this.#lanesFor(pace)
      .find((one) => this.#placesIn(one, pace, expectedMs) > 0);
    if (lane === undefined) return { type: "busy" };
    const startedMs = this.#clock.monotonic();
    const timeoutMs = 2 * this.#load(lane, expectedMs) + TIMEOUT_SLACK_MS;
    this.#asking++;
    const advice = await this.#ask(lane, question, { timeoutMs });
    this.#asking--;
    this.#load(lane, -expectedMs);
    const now = this.#clock.monotonic();
    if (advice.type !== "advised") {
      this.#restUntilMs.set(lane, now + LANE_REST_MS);
      this.#forgetLanes();
    }
    this.#metrics.count("advice_calls", { answer: advice.type });
    this.#metrics.observe("advice_ms", now - startedMs);
    return advice;
  }

  /** Changes what is under way in a lane; gives the new sum, milliseconds. */
  #load(lane: string, changeMs: number): number {
    const aheadMs = (this.#aheadMs.get(lane) ?? 0) + changeMs;
    // Sums of fractions would leave a rest that looks like work.
    if (aheadMs < LEAST_WORK_MS) this.#aheadMs.delete(lane);
    else this.#aheadMs.set(lane, aheadMs);
    this.#places.clear();
    return aheadMs;
  }

  #forgetLanes(): void {
    this.#rested.clear();
    this.#places.clear();
  }

  #placesIn(lane: string, pace: Pace, expectedMs: number): number {
    const aheadMs = this.#aheadMs.get(lane) ?? 0;
    return placesIn(pace, { aheadMs, expectedMs });
  }

  #lanesFor(pace: Pace): readonly string[] {
    const now = this.#clock.monotonic();
    if (now - this.#lanesAtMs >= LANES_FOR_MS) {
      this.#lanesAtMs = now;
      this.#lanes = this.#instances();
      this.#forgetLanes();
    }
    const known = this.#rested.get(pace);
    if (known !== undefined) return known;
    const rested = lanesFor(this.#lanes, pace).filter((lane) =>
      (this.#restUntilMs.get(lane) ?? 0) <= now
    );
    this.#rested.set(pace, rested);
    return rested;
  }
}
