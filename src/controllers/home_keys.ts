/**
 * At most one run for each idempotency key: every key has a home instance that
 * records its use before the first byte goes to a worker.
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
} from "../state/key_memory.ts";
import type { Outcome } from "../types.ts";
import { HandledKeys } from "./handled_keys.ts";
import {
  beginKeyCall,
  finishKeyCall,
  lookUpKeyCall,
  type NotHome,
} from "../wire/keys.ts";
import { KeyHomes } from "./key_homes.ts";

/** What the controller works with. */
export interface HomeKeysOptions {
  readonly self: string;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly limits: KeyLimits;
  /** Time that a message to another instance may take, milliseconds. */
  readonly callMs: number;
  readonly authority: Authority;
  readonly log: Log;
  /** The other live instances. */
  readonly members: () => readonly string[];
  /** Gives an id that is unique among all instances. */
  readonly newId: () => string;
}

/** Whether a request may go ahead. */
export type KeyVerdict =
  /** It may, and its ending has to be told with {@linkcode HomeKeys.finish}. */
  | { readonly type: "proceed"; readonly use: KeyUse }
  /** Another request with the key is being answered. */
  | { readonly type: "inProgress" }
  /** It may not: the caller is told this. */
  | { readonly type: "answer"; readonly outcome: Outcome };

/** Homes and users of idempotency keys at one instance. */
export class HomeKeys {
  readonly #options: HomeKeysOptions;
  readonly #homes: KeyHomes;
  readonly #handled: HandledKeys;

  constructor(options: HomeKeysOptions) {
    this.#options = options;
    this.#homes = new KeyHomes(options);
    this.#handled = new HandledKeys(options.limits);
    const { peers } = options;
    peers.serve(beginKeyCall, (use) => this.#beginHere(use));
    peers.serve(
      finishKeyCall,
      ({ use, outcome }) => ({ taken: this.#finishHere(use, outcome) }),
    );
    peers.serve(lookUpKeyCall, (key) => this.#recallHere(key));
  }

  /** Keys remembered at the homes here. */
  get size(): number {
    return this.#homes.size;
  }

  /** Resolves once the memories that were passed on have arrived or were refused. */
  handedOver(): Promise<void> {
    return this.#homes.handedOver();
  }

  /** Asks the key's home whether a request may go ahead. */
  async begin(key: TeamKey, deadline: number): Promise<KeyVerdict> {
    const { newId, self } = this.#options;
    const use = { ...key, request: newId(), entry: self, deadline };
    const home = this.#homes.ownerOf(key);
    if (home === undefined) return refusal;
    const answer = await this.#ask(home, use);
    return this.#verdict(use, answer);
  }

  /** Tells the key's home how a request ended. */
  async finish(use: KeyUse, outcome: Outcome): Promise<void> {
    this.#handled.add(use, outcome);
    for (let tries = 0; tries < FINISH_TRIES; tries++) {
      if (await this.#tell(use, outcome)) return;
      await sleep(this.#options.clock, FINISH_RETRY_MS * 2 ** tries);
    }
  }

  #verdict(use: KeyUse, answer: KeyAnswer | NotHome | undefined): KeyVerdict {
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
        return refusal;
      case undefined:
        this.finish(use, notRun);
        return refusal;
      default:
        return assertNever(answer);
    }
  }

  async #ask(
    home: string,
    use: KeyUse,
  ): Promise<KeyAnswer | NotHome | undefined> {
    const { self, peers, callMs } = this.#options;
    if (home === self) return await this.#beginHere(use);
    const options = { params: use, timeoutMs: callMs };
    return (await peers.call(home, beginKeyCall, options)).unwrapOr(undefined);
  }

  async #tell(use: KeyUse, outcome: Outcome): Promise<boolean> {
    const { self, peers, callMs } = this.#options;
    const home = this.#homes.ownerOf(use);
    if (home === self) return this.#finishHere(use, outcome);
    if (home === undefined) return false;
    const options = { params: { use, outcome }, timeoutMs: callMs };
    const result = await peers.call(home, finishKeyCall, options);
    return result.map(({ taken }) => taken).unwrapOr(false);
  }

  async #beginHere(use: KeyUse): Promise<KeyAnswer | NotHome> {
    const early = this.#homes.memoryOf(use)?.begin(use, this.#now());
    if (early?.type !== "unknown") return early ?? notHome;
    await this.#homes.arrivalFor(use);
    const answer = this.#homes.memoryOf(use)?.begin(use, this.#now());
    if (answer?.type !== "unknown") return answer ?? notHome;
    const outcome = await this.#recall(use);
    if (outcome === undefined) return answer;
    this.#finishHere(use, outcome);
    return { type: "done", outcome };
  }

  #finishHere(use: KeyUse, outcome: Outcome): boolean {
    const memory = this.#homes.memoryOf(use);
    memory?.finish(use, outcome, this.#now());
    return memory !== undefined;
  }

  /** Asks every instance for the outcome of a key that it handled itself. */
  async #recall(key: TeamKey): Promise<Outcome | undefined> {
    const { members, peers, callMs } = this.#options;
    const params = { team: key.team, key: key.key };
    const answers = await Promise.all(
      members().map((peer) =>
        peers.call(peer, lookUpKeyCall, { params, timeoutMs: callMs })
          .unwrapOr({ outcome: undefined })
      ),
    );
    return [this.#recallHere(key), ...answers]
      .map(({ outcome }) => outcome)
      .find((outcome) => outcome?.type === "done");
  }

  #recallHere(key: TeamKey): { readonly outcome?: Outcome } {
    const outcome = this.#handled.get(key);
    return outcome === undefined ? {} : { outcome };
  }

  #now(): number {
    return this.#options.clock.now().getTime();
  }
}

const FINISH_TRIES = 6;
const FINISH_RETRY_MS = 200;
const RETRY_MS = 200;

const notHome: NotHome = { type: "notHome" };

const notRun: Outcome = {
  type: "notRun",
  reason: { type: "noOwner" },
  retryAfterMs: RETRY_MS,
};

const refusal: KeyVerdict = { type: "answer", outcome: notRun };

const unknownVerdict: KeyVerdict = {
  type: "answer",
  outcome: { type: "unknown", reason: { type: "keyMemoryLost" } },
};

function clockVerdict(retryAfterMs: number): KeyVerdict {
  const detail = "the time in the key is ahead of the clocks";
  const reason = { type: "badRequest", detail } as const;
  return { type: "answer", outcome: { type: "notRun", reason, retryAfterMs } };
}
