/**
 * Store calls that are relayed by another instance while the store does not
 * answer this one.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import type { CommitResult, Condition, Entry, Write } from "../ports/store.ts";
import type { CellStore } from "./ports.ts";
import {
  storeRelayCall,
  type StoreRelayReply,
  type StoreRelayRequest,
} from "./protocol.ts";

/** Interval of probes, milliseconds: direct calls in the background while calls are relayed. */
const PROBE_INTERVAL_MS = 500;
/** Key that a probe reads; it need not exist. */
const PROBE_KEY = "probe";
/**
 * Age of the last direct answer, milliseconds, below which the store counts as
 * reachable and a failure concerns one call only. It is shorter than the
 * shortest call timeout, so that the first call that fails after the connection
 * is cut already marks the store as unreachable.
 */
const RECENT_RESPONSE_MS = 250;
/** Timeout of a relayed call, milliseconds. */
const RELAY_TIMEOUT_MS = 1_500;

/** Dependencies of {@linkcode RelayedStore}. */
export interface RelayedStoreOptions {
  readonly direct: CellStore;
  readonly peers: Peers;
  /** Instances through which the store may be reached, the most likely first. */
  readonly relays: () => readonly string[];
  readonly clock: Clock;
  readonly log: Log;
}

/** {@linkcode CellStore} that calls the store directly, or through a relay while it is unreachable. */
export class RelayedStore implements CellStore {
  readonly #options: RelayedStoreOptions;
  #lastResponseMs = -Infinity;
  #lastProbeMs = -Infinity;
  #isReachable = true;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  /** Whether the store answers direct calls. A single failure shortly after an answer does not change this. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Records the outcome of a direct call. */
  observe(
    call: string,
    { failure, tookMs: elapsedMs }: {
      readonly failure: StoreFailure | undefined;
      readonly tookMs: number;
    },
  ): void {
    const { clock, log } = this.#options;
    const isReachable = failure === undefined ||
      failure.type === "storeProtocol";
    if (isReachable) this.#lastResponseMs = clock.monotonic();
    else if (this.#respondedRecently()) {
      log.info("store.callFailed", {
        call,
        failure: failure.type,
        reason: failure.message,
        tookMs: Math.round(elapsedMs),
      });
      return;
    }
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    if (isReachable) log.info("store.regained", { call });
    else {
      log.warn("store.lost", {
        call,
        failure: failure.type,
        reason: failure.message,
        tookMs: Math.round(elapsedMs),
      });
    }
  }

  /** Whether the store has answered a direct call very recently. */
  #respondedRecently(): boolean {
    const ageMs = this.#options.clock.monotonic() - this.#lastResponseMs;
    return ageMs < RECENT_RESPONSE_MS;
  }

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    return this.#call(
      () => this.#options.direct.get(key),
      { type: "get", key },
      (reply) =>
        reply.type === "entry"
          ? ok(reply.entry ?? undefined)
          : unexpectedReply(),
    );
  }

  list(prefix: string): ReturnType<CellStore["list"]> {
    return this.#call(
      () => this.#options.direct.list(prefix),
      { type: "list", prefix },
      (reply) => reply.type === "entries" ? ok(reply) : unexpectedReply(),
    );
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<CommitResult, StoreFailure> {
    const request: StoreRelayRequest = {
      type: "commit",
      conditions: [...conditions],
      writes: [...writes],
    };
    return this.#call(
      () => this.#options.direct.commit(conditions, writes),
      request,
      (reply): Result<CommitResult, StoreFailure> =>
        reply.type === "committed" || reply.type === "conflict"
          ? ok(reply)
          : unexpectedReply(),
    );
  }

  /** Always calls the store directly: a watch keeps its call open for seconds, which would burden a relay. */
  changes(
    ...call: Parameters<CellStore["changes"]>
  ): ReturnType<CellStore["changes"]> {
    return this.#options.direct.changes(...call);
  }

  #call<A>(
    direct: () => ResultAsync<A, StoreFailure>,
    request: StoreRelayRequest,
    decode: (reply: StoreRelayReply) => Result<A, StoreFailure>,
  ): ResultAsync<A, StoreFailure> {
    return new ResultAsync(this.#callWithFallback(direct, request, decode));
  }

  async #callWithFallback<A>(
    direct: () => ResultAsync<A, StoreFailure>,
    request: StoreRelayRequest,
    decode: (reply: StoreRelayReply) => Result<A, StoreFailure>,
  ): Promise<Result<A, StoreFailure>> {
    const relayFirst = !this.#isReachable;
    if (relayFirst) this.#probe();
    const first = relayFirst
      ? await this.#relay(request, decode)
      : await direct();
    if (first === undefined) return await direct();
    if (first.isOk()) return first;
    if (!relayFirst && first.error.type === "storeProtocol") return first;
    if (!relayFirst && this.#respondedRecently()) return first;
    const second = relayFirst
      ? await direct()
      : await this.#relay(request, decode);
    if (second === undefined) return first;
    if (second.isOk()) return second;
    // If either call may have taken effect, the failure must not claim that nothing was done.
    return first.error.type === "storeAnswerLost" ? first : second;
  }

  /** Tests in the background whether the store answers direct calls again; the outcome is passed to `observe` like that of any direct call. */
  #probe(): void {
    const now = this.#options.clock.monotonic();
    if (now - this.#lastProbeMs < PROBE_INTERVAL_MS) return;
    this.#lastProbeMs = now;
    void this.#options.direct.get(PROBE_KEY);
  }

  async #relay<A>(
    request: StoreRelayRequest,
    decode: (reply: StoreRelayReply) => Result<A, StoreFailure>,
  ): Promise<Result<A, StoreFailure> | undefined> {
    const { peers, relays } = this.#options;
    const relay = relays()[0];
    if (relay === undefined) return undefined;
    const reply = await peers.call(relay, storeRelayCall, {
      params: request,
      timeoutMs: RELAY_TIMEOUT_MS,
    });
    if (reply.isErr()) {
      return err({ type: "storeAnswerLost", message: reply.error.message });
    }
    if (reply.value.type === "failure") return err(reply.value.failure);
    return decode(reply.value);
  }
}

/** Makes a relayed call at the store on behalf of another instance. */
export async function serveStoreRelay(
  direct: CellStore,
  request: StoreRelayRequest,
): Promise<StoreRelayReply> {
  const result = await execute(direct, request);
  return result.match(
    (value) => value,
    (failure): StoreRelayReply =>
      failure.type === "storeValueTooLarge"
        ? {
          type: "failure",
          failure: { type: "storeProtocol", message: failure.message },
        }
        : { type: "failure", failure },
  );
}

function execute(
  direct: CellStore,
  request: StoreRelayRequest,
): ResultAsync<StoreRelayReply, StoreFailure> {
  switch (request.type) {
    case "get":
      return direct.get(request.key).map((entry): StoreRelayReply => ({
        type: "entry",
        entry: entry ?? null,
      }));
    case "list":
      return direct.list(request.prefix).map((
        { entries, revision },
      ): StoreRelayReply => ({
        type: "entries",
        entries: [...entries],
        revision,
      }));
    case "commit":
      return direct.commit(request.conditions, request.writes).map((
        commit,
      ): StoreRelayReply =>
        commit.type === "committed"
          ? commit
          : { ...commit, entries: [...(commit.entries ?? [])] }
      );
  }
}

function unexpectedReply(): Result<never, StoreFailure> {
  return err({
    type: "storeProtocol",
    message: "the reply does not match the relayed call",
  });
}
