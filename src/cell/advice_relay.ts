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
import type { WorkerProcess } from "./verdicts.ts";

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
      async ({ step, workers, processStartsMs, timeoutMs }) => {
        const request = {
          step,
          workers: toProcesses(workers, processStartsMs),
        };
        return toAdviceMessage(await this.#sendHere(request, { timeoutMs }));
      },
    );
    peers.serve(
      adviceRecoveryCall,
      ({ steps }) => this.#cache.lookUp(steps).map(toCachedMessage),
    );
  }

  /** Sends an advice request through an instance. */
  async send(
    instance: string,
    { step, workers, processStartsMs = [] }: AdviceRequest,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { self, peers } = this.#options;
    if (instance === self) {
      const request = { step, workers: toProcesses(workers, processStartsMs) };
      return await this.#sendHere(request, { timeoutMs });
    }
    const params = {
      step,
      workers: [...workers],
      processStartsMs: toMessage(processStartsMs),
      timeoutMs,
    };
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
    { step, workers }: {
      readonly step: string;
      readonly workers: readonly WorkerProcess[];
    },
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<Advice> {
    const { service } = this.#options;
    const ids = workers.map(({ id }) => id);
    const advice = await service.requestAdvice(step, ids, { timeoutMs });
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

/** Start of a process as known to an instance, and as a message. */
type ProcessStart = number | undefined;
type ProcessStartMessage = number | null;

/** `starts` are in the order of `ids`, and may be missing. */
function toProcesses(
  ids: readonly string[],
  starts: readonly (ProcessStart | ProcessStartMessage)[] = [],
): readonly WorkerProcess[] {
  return ids.map((id, index) => ({
    id,
    processStartMs: starts[index] ?? undefined,
  }));
}

function toMessage(starts: readonly ProcessStart[]): ProcessStartMessage[] {
  return starts.map((startMs) => startMs ?? null);
}

function toCachedMessage(
  { step, bad, good }: CachedAdvice,
): RecoveredAdviceMessage {
  return {
    step,
    bad: bad.map(({ id }) => id),
    badProcessStartsMs: toMessage(
      bad.map(({ processStartMs }) => processStartMs),
    ),
    good: good.map(({ worker, ticket, ageMs }) => [worker.id, ticket, ageMs]),
    goodProcessStartsMs: toMessage(
      good.map(({ worker }) => worker.processStartMs),
    ),
  };
}

function fromCachedMessage(
  { step, bad, badProcessStartsMs, good, goodProcessStartsMs }:
    RecoveredAdviceMessage,
): CachedAdvice {
  const goodIds = good.map(([id]) => id);
  const goodWorkers = toProcesses(goodIds, goodProcessStartsMs);
  return {
    step,
    bad: toProcesses(bad, badProcessStartsMs),
    good: good.map(([, ticket, ageMs], index) => ({
      worker: goodWorkers[index]!,
      ticket,
      ageMs,
    })),
  };
}
