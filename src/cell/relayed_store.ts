/**
 * The store, directly or through another instance where the store turns this
 * one away.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { Commit, Condition, Entry, Write } from "../ports/store.ts";
import type { CellStore } from "./ports.ts";
import { type StoreAnswer, storeCall, type StoreRequest } from "./protocol.ts";

/** While others are asked the direct way is tried this often, milliseconds, by a call that nobody waits for. */
const PROBE_EVERY_MS = 500;
/** Key that such a call asks for; it need not exist. */
const PROBE_KEY = "probe";
/** A direct answer of so long ago, milliseconds, tells that the way is open: one call failed, not the way. Below the shortest wait for an answer, so that a cut is noticed by the first call that fails. */
const FRESH_ANSWER_MS = 250;
/** Longest wait for an answer through another instance, milliseconds. */
const RELAY_TIMEOUT_MS = 1_500;

/** What the relayed store needs. */
export interface RelayedStoreOptions {
  readonly direct: CellStore;
  readonly peers: Peers;
  /** Instances that may reach the store, the likeliest first. */
  readonly relays: () => readonly string[];
  readonly clock: Clock;
  readonly log: Log;
}

/** {@linkcode CellStore} that takes a detour when it must. */
export class RelayedStore implements CellStore {
  readonly #options: RelayedStoreOptions;
  #answeredMs = -Infinity;
  #probedMs = -Infinity;
  #reached = true;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  /** Whether the last direct call was answered. */
  get reached(): boolean {
    return this.#reached;
  }

  /** Takes note of the outcome of a direct call. */
  observe(
    call: string,
    { failure, tookMs }: {
      readonly failure: StoreFailure | undefined;
      readonly tookMs: number;
    },
  ): void {
    const { clock, log } = this.#options;
    const reached = failure === undefined || failure.type === "storeProtocol";
    if (reached) this.#answeredMs = clock.monotonic();
    else if (this.#isOpen()) {
      log.info("store.callFailed", {
        call,
        failure: failure.type,
        reason: failure.message,
        tookMs: Math.round(tookMs),
      });
      return;
    }
    if (reached === this.#reached) return;
    this.#reached = reached;
    if (reached) log.info("store.regained", { call });
    else {
      log.warn("store.lost", {
        call,
        failure: failure.type,
        reason: failure.message,
        tookMs: Math.round(tookMs),
      });
    }
  }

  /** Whether the direct way has answered just now. */
  #isOpen(): boolean {
    const ageMs = this.#options.clock.monotonic() - this.#answeredMs;
    return ageMs < FRESH_ANSWER_MS;
  }

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    return this.#through(
      () => this.#options.direct.get(key),
      { type: "get", key },
      (answer) =>
        answer.type === "entry" ? ok(answer.entry ?? undefined) : odd(),
    );
  }

  list(prefix: string): ReturnType<CellStore["list"]> {
    return this.#through(
      () => this.#options.direct.list(prefix),
      { type: "list", prefix },
      (answer) => answer.type === "entries" ? ok(answer) : odd(),
    );
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<Commit, StoreFailure> {
    const request: StoreRequest = {
      type: "commit",
      conditions: [...conditions],
      writes: [...writes],
    };
    return this.#through(
      () => this.#options.direct.commit(conditions, writes),
      request,
      (answer): Result<Commit, StoreFailure> =>
        answer.type === "committed" || answer.type === "conflict"
          ? ok(answer)
          : odd(),
    );
  }

  /** Only directly: a wait of seconds is no load for another instance. */
  changes(
    ...call: Parameters<CellStore["changes"]>
  ): ReturnType<CellStore["changes"]> {
    return this.#options.direct.changes(...call);
  }

  #through<A>(
    direct: () => ResultAsync<A, StoreFailure>,
    request: StoreRequest,
    read: (answer: StoreAnswer) => Result<A, StoreFailure>,
  ): ResultAsync<A, StoreFailure> {
    return new ResultAsync(this.#attempt(direct, request, read));
  }

  async #attempt<A>(
    direct: () => ResultAsync<A, StoreFailure>,
    request: StoreRequest,
    read: (answer: StoreAnswer) => Result<A, StoreFailure>,
  ): Promise<Result<A, StoreFailure>> {
    const detour = !this.#reached;
    if (detour) this.#probe();
    const first = detour ? await this.#relay(request, read) : await direct();
    if (first === undefined) return await direct();
    if (first.isOk()) return first;
    if (!detour && first.error.type === "storeProtocol") return first;
    if (!detour && this.#isOpen()) return first;
    const second = detour ? await direct() : await this.#relay(request, read);
    if (second === undefined) return first;
    if (second.isOk()) return second;
    // Either call may have taken effect: then neither may be told as undone.
    return first.error.type === "storeAnswerLost" ? first : second;
  }

  /** Finds out whether the direct way is open again; the outcome is observed like any other. */
  #probe(): void {
    const now = this.#options.clock.monotonic();
    if (now - this.#probedMs < PROBE_EVERY_MS) return;
    this.#probedMs = now;
    void this.#options.direct.get(PROBE_KEY);
  }

  async #relay<A>(
    request: StoreRequest,
    read: (answer: StoreAnswer) => Result<A, StoreFailure>,
  ): Promise<Result<A, StoreFailure> | undefined> {
    const { peers, relays } = this.#options;
    const relay = relays()[0];
    if (relay === undefined) return undefined;
    const answer = await peers.call(relay, storeCall, {
      params: request,
      timeoutMs: RELAY_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      return err({ type: "storeAnswerLost", message: answer.error.message });
    }
    if (answer.value.type === "failure") return err(answer.value.failure);
    return read(answer.value);
  }
}

/** Carries out a call for another instance. */
export async function serveStore(
  direct: CellStore,
  request: StoreRequest,
): Promise<StoreAnswer> {
  const answer = await perform(direct, request);
  return answer.match(
    (value) => value,
    (failure): StoreAnswer =>
      failure.type === "storeValueTooLarge"
        ? {
          type: "failure",
          failure: { type: "storeProtocol", message: failure.message },
        }
        : { type: "failure", failure },
  );
}

function perform(
  direct: CellStore,
  request: StoreRequest,
): ResultAsync<StoreAnswer, StoreFailure> {
  switch (request.type) {
    case "get":
      return direct.get(request.key).map((entry): StoreAnswer => ({
        type: "entry",
        entry: entry ?? null,
      }));
    case "list":
      return direct.list(request.prefix).map((
        { entries, revision },
      ): StoreAnswer => ({
        type: "entries",
        entries: [...entries],
        revision,
      }));
    case "commit":
      return direct.commit(request.conditions, request.writes).map((
        commit,
      ): StoreAnswer =>
        commit.type === "committed"
          ? commit
          : { ...commit, entries: [...(commit.entries ?? [])] }
      );
  }
}

function odd(): Result<never, StoreFailure> {
  return err({ type: "storeProtocol", message: "answer to another call" });
}
