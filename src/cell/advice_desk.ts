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
import { lanesFor, type Pace, paceOf, paceOfQueue } from "./decisions/lanes.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

/** A call is given up after its expected time, twice, and this, milliseconds. */
const TIMEOUT_SLACK_MS = 400;
/** A lane that failed rests so long, milliseconds. */
const LANE_REST_MS = 1_000;
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
  readonly #busy = new Set<string>();
  readonly #restUntilMs = new Map<string, number>();
  #lanes: readonly string[] = [];
  #lanesAtMs = -Infinity;
  /** Free lanes by class of question, until one is taken or comes free. */
  readonly #free = new Map<Pace, readonly string[]>();

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
    return this.#busy.size;
  }

  /** Questions of a queue that could be asked at once. */
  freeFor(advice: AdvicePolicy): number {
    return this.#freeLanes(paceOfQueue(advice)).length;
  }

  /** Asks through a free lane; `busy` if there is none. */
  async ask(question: Question): Promise<Advice> {
    const [lane] = this.#freeLanes(paceOf(question.expectedMs));
    if (lane === undefined) return { type: "busy" };
    const startedMs = this.#clock.monotonic();
    const timeoutMs = 2 * question.expectedMs + TIMEOUT_SLACK_MS;
    this.#busy.add(lane);
    this.#free.clear();
    const advice = await this.#ask(lane, question, { timeoutMs });
    this.#busy.delete(lane);
    this.#free.clear();
    const now = this.#clock.monotonic();
    if (advice.type !== "advised") {
      this.#restUntilMs.set(lane, now + LANE_REST_MS);
    }
    this.#metrics.count("advice_calls", { answer: advice.type });
    this.#metrics.observe("advice_ms", now - startedMs);
    return advice;
  }

  #freeLanes(pace: Pace): readonly string[] {
    const now = this.#clock.monotonic();
    if (now - this.#lanesAtMs >= LANES_FOR_MS) {
      this.#lanesAtMs = now;
      this.#lanes = this.#instances();
      this.#free.clear();
    }
    const known = this.#free.get(pace);
    if (known !== undefined) return known;
    const free = lanesFor(this.#lanes, pace).filter((lane) =>
      !this.#busy.has(lane) && (this.#restUntilMs.get(lane) ?? 0) <= now
    );
    this.#free.set(pace, free);
    return free;
  }
}
