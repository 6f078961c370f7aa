/**
 * Passes advice requests of a leader on to the advice service, through this
 * instance or another, and caches the advice for the next leader.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { AdviceRequest } from "./advice_dispatcher.ts";
import { AdviceCache } from "./advice_cache.ts";
import type { AdviceService } from "./ports.ts";
import {
  type AdviceMessage,
  adviceRecoveryCall,
  adviceRelayCall,
  type RecoveredAdviceMessage,
} from "./protocol.ts";
import type { Advice, CachedAdvice } from "./types.ts";

/**
 * Timeout for reading the cache of another instance. A new advice request takes
 * longer than that.
 */
const CACHE_READ_TIMEOUT_MS = 150;

/** Dependencies of an {@linkcode AdviceRelay}. */
export interface AdviceRelayOptions {
  /** Name of this instance. */
  readonly self: string;
  readonly service: AdviceService;
  readonly peers: Peers;
  /** Instances that answered recently. */
  readonly reachable: () => readonly string[];
  readonly clock: Clock;
}

/** Passes on the advice requests of one instance. */
export class AdviceRelay {
  readonly #options: AdviceRelayOptions;
  readonly #cache: AdviceCache;

  constructor(options: AdviceRelayOptions) {
    this.#options = options;
    this.#cache = new AdviceCache(options.clock);
    const { peers } = options;
    peers.serve(
      adviceRelayCall,
      async (params) => toAdviceMessage(await this.#sendHere(params, params)),
    );
    peers.serve(
      adviceRecoveryCall,
      ({ steps }) => this.#cache.lookUp(steps).map(toCachedMessage),
    );
  }

  /** Sends an advice request through an instance. */
  async send(
    instance: string,
    { step, workers }: AdviceRequest,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { self, peers } = this.#options;
    const params = { step, workers: [...workers], timeoutMs };
    if (instance === self) return await this.#sendHere(params, { timeoutMs });
    const call = { params, timeoutMs };
    const response = await peers.call(instance, adviceRelayCall, call);
    if (response.isErr()) {
      return { type: "failed", message: response.error.message };
    }
    const advice = response.value;
    return advice.type === "advised"
      ? { type: "advised", tickets: new Map(advice.tickets) }
      : advice;
  }

  /**
   * Reads the cached advice on these steps from this instance and all reachable
   * ones.
   */
  async readCaches(steps: readonly string[]): Promise<readonly CachedAdvice[]> {
    const { reachable } = this.#options;
    const responses = await Promise.all(
      reachable().map((instance) => this.#readCacheOf(instance, steps)),
    );
    return [...this.#cache.lookUp(steps), ...responses.flat()];
  }

  async #readCacheOf(
    instance: string,
    steps: readonly string[],
  ): Promise<readonly CachedAdvice[]> {
    const response = await this.#options.peers.call(
      instance,
      adviceRecoveryCall,
      {
        params: { steps: [...steps] },
        timeoutMs: CACHE_READ_TIMEOUT_MS,
      },
    );
    // Advice that no instance has cached is requested again, as after the start
    // of the first leader.
    return response.unwrapOr([]).map(fromCachedMessage);
  }

  async #sendHere(
    { step, workers }: Pick<AdviceRequest, "step" | "workers">,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { service } = this.#options;
    const advice = await service.requestAdvice(step, workers, { timeoutMs });
    if (advice.type === "advised") {
      this.#cache.add(step, workers, advice.tickets);
    }
    return advice;
  }
}

function toAdviceMessage(advice: Advice): AdviceMessage {
  return advice.type === "advised"
    ? { type: "advised", tickets: [...advice.tickets] }
    : advice;
}

function toCachedMessage(
  { step, bad, good }: CachedAdvice,
): RecoveredAdviceMessage {
  return {
    step,
    bad: [...bad],
    good: good.map(({ worker, ticket, ageMs }) => [worker, ticket, ageMs]),
  };
}

function fromCachedMessage(
  { step, bad, good }: RecoveredAdviceMessage,
): CachedAdvice {
  return {
    step,
    bad,
    good: good.map(([worker, ticket, ageMs]) => ({ worker, ticket, ageMs })),
  };
}
