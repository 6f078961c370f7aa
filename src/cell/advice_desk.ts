/**
 * Asks the advice service through all instances.
 *
 * The service answers one call at a time for each calling instance, and calls
 * take from ten milliseconds to a second. So each instance is a lane, and slow
 * calls keep to some of the lanes. Nothing waits here: a question is chosen
 * when a lane is free, by what is first in line and has room then.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Metrics } from "../metrics.ts";
import type { Advice } from "./types.ts";

/** Calls that take longer keep to the first lanes, milliseconds. */
const SLOW_CALL_MS = 250;
/** Calls that take longer leave the last lanes to quick ones, milliseconds. */
const MEDIUM_CALL_MS = 30;
/** Share of the lanes that slow calls may use. */
const SLOW_LANES = 0.45;
/** Share of the lanes that medium calls may use. */
const MEDIUM_LANES = 0.75;
/** A call is given up after its expected time, twice, and this, milliseconds. */
const TIMEOUT_SLACK_MS = 400;
/** A lane that failed rests so long, milliseconds. */
const LANE_REST_MS = 1_000;

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
  readonly #lanes: () => readonly string[];
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #busy = new Set<string>();
  readonly #restUntilMs = new Map<string, number>();

  /** `lanes`: the instances that carry questions now. */
  constructor(
    ask: AskThrough,
    lanes: () => readonly string[],
    { clock, metrics }: { readonly clock: Clock; readonly metrics: Metrics },
  ) {
    this.#ask = ask;
    this.#lanes = lanes;
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Questions under way. */
  get asking(): number {
    return this.#busy.size;
  }

  /** Whether a question of this length would be asked at once. */
  isFree(expectedMs: number): boolean {
    return this.#freeLane(expectedMs) !== undefined;
  }

  /** Asks through a free lane; `busy` if there is none. */
  async ask(question: Question): Promise<Advice> {
    const lane = this.#freeLane(question.expectedMs);
    if (lane === undefined) return { type: "busy" };
    const startedMs = this.#clock.monotonic();
    const timeoutMs = 2 * question.expectedMs + TIMEOUT_SLACK_MS;
    this.#busy.add(lane);
    const advice = await this.#ask(lane, question, { timeoutMs });
    this.#busy.delete(lane);
    const now = this.#clock.monotonic();
    if (advice.type !== "advised") {
      this.#restUntilMs.set(lane, now + LANE_REST_MS);
    }
    this.#metrics.count("advice_calls", { answer: advice.type });
    this.#metrics.observe("advice_ms", now - startedMs);
    return advice;
  }

  #freeLane(expectedMs: number): string | undefined {
    const now = this.#clock.monotonic();
    const allowed = lanesFor(this.#lanes(), expectedMs);
    return allowed.find((lane) =>
      !this.#busy.has(lane) && (this.#restUntilMs.get(lane) ?? 0) <= now
    );
  }
}

/** Lanes that a call may use, the preferred first: quick ones begin at the end. */
function lanesFor(
  lanes: readonly string[],
  expectedMs: number,
): readonly string[] {
  if (expectedMs > SLOW_CALL_MS) {
    return lanes.slice(0, Math.max(1, Math.floor(lanes.length * SLOW_LANES)));
  }
  if (expectedMs > MEDIUM_CALL_MS) {
    const end = Math.max(1, Math.floor(lanes.length * MEDIUM_LANES));
    return lanes.slice(0, end).reverse();
  }
  return [...lanes].reverse();
}
