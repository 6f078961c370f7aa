/**
 * Stores the learned estimates of run times and worker speeds for later
 * leaders.
 *
 * Every write is conditional on the leadership record, so writes of a former
 * leader have no effect. Nothing depends on a write: lost estimates are learned
 * again.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { okAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import { leaderRecordKey } from "./leader_record.ts";
import type { CellContext } from "./context.ts";
import { ForecastAccuracy } from "./decisions/forecast_accuracy.ts";
import { RunTimes } from "./decisions/run_times.ts";
import { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import {
  decodeEstimates,
  encodeEstimates,
  estimatesKey,
} from "./estimates_record.ts";
import type { CellStore } from "./ports.ts";

/**
 * Minimum interval between two writes: some 2,000 runs of a busy deployment.
 */
const MIN_WRITE_INTERVAL_MS = 5_000;
/**
 * Minimum interval between two writes, as a multiple of the time to encode the
 * estimates: encoding uses at most 1/300 of the leader's time.
 */
const ENCODE_REST_FACTOR = 300;
/** Maximum number of run time classes in the record: 300 take 24 KiB. */
const MAX_CLASSES = 300;
/**
 * Older records are ignored, since workers and workloads have changed by then.
 */
const MAX_AGE_MS = 86_400_000;

/** Estimates before the first run. */
export function newEstimates(): Pick<
  CellContext,
  "runTimes" | "workerSpeeds" | "forecasts"
> {
  return {
    runTimes: new RunTimes(),
    workerSpeeds: new WorkerSpeeds(),
    forecasts: new ForecastAccuracy(),
  };
}

/** Part of the leader's context that the stored estimates need. */
export type StoredEstimatesContext =
  & Pick<CellContext, "clock" | "log" | "metrics" | "fence" | "isLeading">
  & Pick<CellContext, "stepDown" | "runTimes" | "workerSpeeds">
  & { readonly jobLog: Pick<CellContext["jobLog"], "stuckMs"> };

/** Where the estimates are stored. */
export interface StoredEstimatesOptions {
  /** Name of the cell. */
  readonly name: string;
  /** Store revision of the leadership record. */
  readonly revision: number;
  readonly store: CellStore;
}

/** Reads and writes the stored estimates of one leader. */
export class StoredEstimates {
  readonly #context: StoredEstimatesContext;
  readonly #options: StoredEstimatesOptions;
  /** Number of learned runs at the last successful write. */
  #savedRuns = 0;
  #writeIntervalMs = MIN_WRITE_INTERVAL_MS;
  #closed = false;

  constructor(
    context: StoredEstimatesContext,
    options: StoredEstimatesOptions,
  ) {
    this.#context = context;
    this.#options = options;
    this.#registerGauges(() => context);
  }

  /**
   * Reads the estimates of former leaders. If there is no readable and recent
   * record, learning starts anew.
   */
  restore(): ResultAsync<void, never> {
    const { store, name } = this.#options;
    return store.get(estimatesKey(name))
      .map((entry) => {
        if (entry === undefined) this.#logRead("absent");
        else this.#applyText(entry.value);
      })
      .orElse((failure) => {
        this.#logRead(failure.type);
        return okAsync(undefined);
      });
  }

  /** Writes at intervals until {@linkcode close} is called. */
  async run(): Promise<void> {
    const { clock } = this.#context;
    while (!this.#closed) {
      await sleep(clock, this.#writeIntervalMs);
      await this.write();
    }
  }

  /** Writes the estimates if they have changed since the last write. */
  async write(): Promise<void> {
    const { clock, runTimes, isLeading, jobLog } = this.#context;
    const { recordedRuns } = runTimes;
    if (this.#closed || !isLeading() || recordedRuns === this.#savedRuns) {
      return;
    }
    // Writing jobs has priority while the store is slow.
    if (jobLog.stuckMs() > 0) return;
    const startedMs = clock.monotonic();
    const value = this.#encode();
    const encodeMs = clock.monotonic() - startedMs;
    this.#writeIntervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      ENCODE_REST_FACTOR * encodeMs,
    );
    if (await this.#put(value)) this.#savedRuns = recordedRuns;
  }

  /**
   * Writes before a transfer of leadership, which is delayed by `timeoutMs`
   * milliseconds at most.
   */
  async writeBeforeTransfer(timeoutMs: number): Promise<void> {
    const limit = sleep(this.#context.clock, timeoutMs);
    await Promise.race([this.write(), limit]);
  }

  /** Stops writing and resets the gauges. */
  close(): void {
    this.#closed = true;
    this.#registerGauges(() => undefined);
  }

  /**
   * Registers the gauges. They read 0 if this instance is not the leader, and
   * then do not retain the former leader's state.
   */
  #registerGauges(leader: () => StoredEstimatesContext | undefined): void {
    const { metrics } = this.#context;
    const gauges = {
      learned_classes: () => leader()?.runTimes.classes ?? 0,
      uneven_services: () => leader()?.workerSpeeds.unevenServices ?? 0,
      time_factor_spread: () => leader()?.workerSpeeds.spread ?? 0,
    };
    for (const [gauge, read] of Object.entries(gauges)) {
      metrics.gauge(gauge, read);
    }
  }

  #encode(): string {
    const { clock, runTimes, workerSpeeds } = this.#context;
    return encodeEstimates({
      atMs: clock.now().getTime(),
      runTimes: runTimes.summarize(MAX_CLASSES),
      speeds: workerSpeeds.summarize(),
    });
  }

  async #put(value: string): Promise<boolean> {
    const { name, store, revision } = this.#options;
    const { clock, stepDown, metrics } = this.#context;
    const sentMs = clock.monotonic();
    const leadershipGuard = { key: leaderRecordKey(name), revision };
    const result = await store.commit([leadershipGuard], [
      { type: "put", key: estimatesKey(name), value },
    ]);
    const outcome = result.match(
      ({ type }) => type,
      ({ type }) => type,
    );
    metrics.count("learned_writes", { outcome });
    this.#logWrite({ outcome, bytes: value.length, sentMs });
    if (outcome === "conflict" && !this.#closed) {
      stepDown("another instance leads the cell");
    }
    return outcome === "committed";
  }

  #applyText(text: string): void {
    const { clock, runTimes, workerSpeeds } = this.#context;
    const learned = decodeEstimates(text);
    if (learned === undefined) return this.#logRead("unreadable");
    const ageMs = Math.max(0, clock.now().getTime() - learned.atMs);
    if (ageMs > MAX_AGE_MS) return this.#logRead("old", ageMs);
    runTimes.restore(learned.runTimes);
    const nowMs = clock.monotonic();
    workerSpeeds.restore(learned.speeds, { ageMs, nowMs });
    this.#logRead("taken", ageMs);
  }

  #logRead(outcome: string, ageMs?: number): void {
    const { log, fence, runTimes, workerSpeeds } = this.#context;
    log.info("learned.read", {
      fence,
      outcome,
      ageMs,
      classes: runTimes.classes,
      workers: workerSpeeds.size,
    });
  }

  #logWrite({ outcome, bytes, sentMs }: {
    readonly outcome: string;
    readonly bytes: number;
    readonly sentMs: number;
  }): void {
    const { log, fence, clock } = this.#context;
    log.info("learned.write", {
      fence,
      outcome,
      bytes,
      tookMs: Math.round(clock.monotonic() - sentMs),
    });
  }
}
