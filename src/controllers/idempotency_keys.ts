/**
 * Guarantees at most one run for each idempotency key: every key has a home
 * instance that records the use of the key before the first byte of the request
 * is sent to a worker.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import type {
  KeyAnswer,
  KeyLimits,
  KeyUse,
  TeamKey,
} from "../state/key_table.ts";
import type { Outcome } from "../types.ts";
import { KeyOutcomeCache } from "./key_outcome_cache.ts";
import {
  beginKeyCall,
  finishKeyCall,
  lookUpKeyCall,
  type NotHome,
} from "../wire/keys.ts";
import { KeyHomes } from "./key_homes.ts";

/** Dependencies of {@linkcode IdempotencyKeys}. */
export interface IdempotencyKeysOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly limits: KeyLimits;
  /** Timeout of calls to another instance, milliseconds. */
  readonly callTimeoutMs: number;
  readonly authority: Authority;
  readonly log: Log;
  /** Ids of the other live instances. */
  readonly members: () => readonly string[];
  /** Returns an id that is unique among all instances. */
  readonly newId: () => string;
}

/** Whether a request may proceed. */
export type KeyVerdict =
  /**
   * The request may proceed. Its outcome has to be reported with {@linkcode
   * IdempotencyKeys.finish}.
   */
  | { readonly type: "proceed"; readonly use: KeyUse }
  /** Another request with the same key is in progress. */
  | { readonly type: "inProgress" }
  /** The request must not run; the caller gets this outcome. */
  | { readonly type: "answer"; readonly outcome: Outcome };

/**
 * Idempotency keys at one instance, both as their home and as the entry of
 * requests that use them.
 */
export class IdempotencyKeys {
  readonly #options: IdempotencyKeysOptions;
  readonly #homes: KeyHomes;
  readonly #outcomeCache: KeyOutcomeCache;

  constructor(options: IdempotencyKeysOptions) {
    this.#options = options;
    this.#homes = new KeyHomes(options);
    this.#outcomeCache = new KeyOutcomeCache(options.limits);
    const { peers } = options;
    peers.serve(beginKeyCall, (use) => this.#beginLocally(use));
    peers.serve(
      finishKeyCall,
      ({ use, outcome }) => ({ taken: this.#finishLocally(use, outcome) }),
    );
    peers.serve(lookUpKeyCall, (key) => this.#lookUpLocally(key));
  }

  /** Number of keys recorded at the homes of this instance. */
  get size(): number {
    return this.#homes.size;
  }

  /**
   * Resolves once all key tables being handed over have arrived or were
   * rejected.
   */
  handoversCompleted(): Promise<void> {
    return this.#homes.handoversCompleted();
  }

  /** Asks the key's home whether a request may proceed. */
  async begin(key: TeamKey, deadline: number): Promise<KeyVerdict> {
    const { newId, self } = this.#options;
    const use = { ...key, request: newId(), entry: self, deadline };
    const home = this.#homes.ownerOf(key);
    if (home === undefined) return rejection;
    const answer = await this.#requestBegin(home, use);
    return this.#toVerdict(use, answer);
  }

  /**
   * Reports the outcome of a request to the key's home. Gives up after a
   * bounded number of retries.
   */
  async finish(use: KeyUse, outcome: Outcome): Promise<void> {
    this.#outcomeCache.add(use, outcome);
    for (let attempt = 0; attempt < MAX_FINISH_ATTEMPTS; attempt++) {
      if (await this.#reportOutcome(use, outcome)) return;
      await sleep(
        this.#options.clock,
        INITIAL_FINISH_RETRY_DELAY_MS * 2 ** attempt,
      );
    }
  }

  #toVerdict(use: KeyUse, answer: KeyAnswer | NotHome | undefined): KeyVerdict {
    switch (answer?.type) {
      case "fresh":
        return { type: "proceed", use };
      case "inProgress":
        return { type: "inProgress" };
      case "done":
        return { type: "answer", outcome: answer.outcome };
      case "unknown":
        return unknownVerdict;
      case "clockAhead":
        return clockVerdict(answer.waitMs);
      case "full":
      case "withdrawn":
      case "notHome":
        return rejection;
      case undefined:
        this.finish(use, notRun);
        return rejection;
      default:
        return assertNever(answer);
    }
  }

  async #requestBegin(
    home: string,
    use: KeyUse,
  ): Promise<KeyAnswer | NotHome | undefined> {
    const { self, peers, callTimeoutMs } = this.#options;
    if (home === self) return await this.#beginLocally(use);
    const options = { params: use, timeoutMs: callTimeoutMs };
    return (await peers.call(home, beginKeyCall, options)).unwrapOr(undefined);
  }

  async #reportOutcome(use: KeyUse, outcome: Outcome): Promise<boolean> {
    const { self, peers, callTimeoutMs } = this.#options;
    const home = this.#homes.ownerOf(use);
    if (home === self) return this.#finishLocally(use, outcome);
    if (home === undefined) return false;
    const options = { params: { use, outcome }, timeoutMs: callTimeoutMs };
    const result = await peers.call(home, finishKeyCall, options);
    return result.map(({ taken }) => taken).unwrapOr(false);
  }

  async #beginLocally(use: KeyUse): Promise<KeyAnswer | NotHome> {
    const earlyAnswer = this.#homes.tableOf(use)?.begin(use, this.#now());
    if (earlyAnswer?.type !== "unknown") return earlyAnswer ?? notHome;
    await this.#homes.handoverDoneFor(use);
    const answer = this.#homes.tableOf(use)?.begin(use, this.#now());
    if (answer?.type !== "unknown") return answer ?? notHome;
    const outcome = await this.#lookUpOutcome(use);
    if (outcome === undefined) return answer;
    this.#finishLocally(use, outcome);
    return { type: "done", outcome };
  }

  #finishLocally(use: KeyUse, outcome: Outcome): boolean {
    const table = this.#homes.tableOf(use);
    table?.finish(use, outcome, this.#now());
    return table !== undefined;
  }

  /**
   * Asks every instance for the outcome of a key whose request it handled as
   * entry.
   */
  async #lookUpOutcome(key: TeamKey): Promise<Outcome | undefined> {
    const { members, peers, callTimeoutMs } = this.#options;
    const params = { team: key.team, key: key.key };
    const answers = await Promise.all(
      members().map((peer) =>
        peers.call(peer, lookUpKeyCall, { params, timeoutMs: callTimeoutMs })
          .unwrapOr({ outcome: undefined })
      ),
    );
    return [this.#lookUpLocally(key), ...answers]
      .map(({ outcome }) => outcome)
      .find((outcome) => outcome?.type === "done");
  }

  #lookUpLocally(key: TeamKey): { readonly outcome?: Outcome } {
    const outcome = this.#outcomeCache.get(key);
    return outcome === undefined ? {} : { outcome };
  }

  #now(): number {
    return this.#options.clock.now().getTime();
  }
}

const MAX_FINISH_ATTEMPTS = 6;
const INITIAL_FINISH_RETRY_DELAY_MS = 200;
const RETRY_AFTER_MS = 200;

const notHome: NotHome = { type: "notHome" };

const notRun: Outcome = {
  type: "notRun",
  reason: { type: "noOwner" },
  retryAfterMs: RETRY_AFTER_MS,
};

const rejection: KeyVerdict = { type: "answer", outcome: notRun };

const unknownVerdict: KeyVerdict = {
  type: "answer",
  outcome: { type: "unknown", reason: { type: "keyMemoryLost" } },
};

function clockVerdict(retryAfterMs: number): KeyVerdict {
  const detail = "the time in the key is ahead of the clocks";
  const reason = { type: "badRequest", detail } as const;
  return { type: "answer", outcome: { type: "notRun", reason, retryAfterMs } };
}
