/**
 * Carries questions to the advice service for a holder, through this instance
 * or another, and remembers the answers for the next holder.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { Question } from "./advice_desk.ts";
import { AdviceMemory } from "./advice_memory.ts";
import type { AdviceService } from "./ports.ts";
import {
  adviceCall,
  type AdviceMessage,
  recallCall,
  type RecalledMessage,
} from "./protocol.ts";
import type { Advice, RecalledAdvice } from "./types.ts";

/** Longest wait for what another instance remembers, milliseconds: a question costs more. */
const RECALL_TIMEOUT_MS = 150;

/** What a carrier needs. */
export interface AdviceCarrierOptions {
  /** Name of this instance. */
  readonly self: string;
  readonly service: AdviceService;
  readonly peers: Peers;
  /** Instances that answered lately. */
  readonly reachable: () => readonly string[];
  readonly clock: Clock;
}

/** The carrier of one instance. */
export class AdviceCarrier {
  readonly #options: AdviceCarrierOptions;
  readonly #memory: AdviceMemory;

  constructor(options: AdviceCarrierOptions) {
    this.#options = options;
    this.#memory = new AdviceMemory(options.clock);
    const { peers } = options;
    peers.serve(
      adviceCall,
      async (params) => messageOf(await this.#askHere(params, params)),
    );
    peers.serve(
      recallCall,
      ({ steps }) => this.#memory.recall(steps).map(toMessage),
    );
  }

  /** Carries a question through an instance. */
  async ask(
    instance: string,
    { step, workers }: Question,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { self, peers } = this.#options;
    const params = { step, workers: [...workers], timeoutMs };
    if (instance === self) return await this.#askHere(params, { timeoutMs });
    const call = { params, timeoutMs };
    const answer = await peers.call(instance, adviceCall, call);
    if (answer.isErr()) {
      return { type: "failed", message: answer.error.message };
    }
    const advice = answer.value;
    return advice.type === "advised"
      ? { type: "advised", tickets: new Map(advice.tickets) }
      : advice;
  }

  /** What the reachable instances and this one remember of steps. */
  async recall(steps: readonly string[]): Promise<readonly RecalledAdvice[]> {
    const { reachable } = this.#options;
    const answers = await Promise.all(
      reachable().map((instance) => this.#recallFrom(instance, steps)),
    );
    return [...this.#memory.recall(steps), ...answers.flat()];
  }

  async #recallFrom(
    instance: string,
    steps: readonly string[],
  ): Promise<readonly RecalledAdvice[]> {
    const answer = await this.#options.peers.call(instance, recallCall, {
      params: { steps: [...steps] },
      timeoutMs: RECALL_TIMEOUT_MS,
    });
    // What nobody remembers is asked anew, as after the start of the first holder.
    return answer.unwrapOr([]).map(fromMessage);
  }

  async #askHere(
    { step, workers }: Pick<Question, "step" | "workers">,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { service } = this.#options;
    const advice = await service.ask(step, workers, { timeoutMs });
    if (advice.type === "advised") {
      this.#memory.note(step, workers, advice.tickets);
    }
    return advice;
  }
}

function messageOf(advice: Advice): AdviceMessage {
  return advice.type === "advised"
    ? { type: "advised", tickets: [...advice.tickets] }
    : advice;
}

function toMessage({ step, bad, good }: RecalledAdvice): RecalledMessage {
  return {
    step,
    bad: [...bad],
    good: good.map(({ worker, ticket, ageMs }) => [worker, ticket, ageMs]),
  };
}

function fromMessage({ step, bad, good }: RecalledMessage): RecalledAdvice {
  return {
    step,
    bad,
    good: good.map(([worker, ticket, ageMs]) => ({ worker, ticket, ageMs })),
  };
}
