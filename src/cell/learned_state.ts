/**
 * Keeps what a holder has learned in the store, for the holders after it.
 *
 * The write is conditional on the record of the hold, so a former holder's has
 * no effect. Nothing waits for it: what is lost is learned again.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { okAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import { recordKey } from "./cell_record.ts";
import type { CellContext } from "./context.ts";
import { Forecasts } from "./decisions/forecasts.ts";
import { RunTimes } from "./decisions/run_times.ts";
import { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import { decodeLearned, encodeLearned, learnedKey } from "./learned_record.ts";
import type { CellStore } from "./ports.ts";

/** The summary is written this often at most, milliseconds: some 2,000 runs of a busy deployment. */
const WRITE_EVERY_MS = 5_000;
/** The time that making a summary takes is at most 1 over this of the time of the holder. */
const REST_FACTOR = 300;
/** Classes of run times in a summary: 300 take 24 KiB. */
const MOST_CLASSES = 300;
/** Older summaries are not read, milliseconds: workers and work are others by then. */
const OLDEST_MS = 86_400_000;

/** What learns from runs, before the first. */
export function nothingLearned(): Pick<
  CellContext,
  "runTimes" | "workerSpeeds" | "forecasts"
> {
  return {
    runTimes: new RunTimes(),
    workerSpeeds: new WorkerSpeeds(),
    forecasts: new Forecasts(),
  };
}

/** What the summary needs of a holder. */
export type LearnedContext =
  & Pick<CellContext, "clock" | "log" | "metrics" | "fence" | "holds">
  & Pick<CellContext, "deposed" | "runTimes" | "workerSpeeds">
  & { readonly jobLog: Pick<CellContext["jobLog"], "stuckMs"> };

/** What the summary is kept with. */
export interface LearnedStateOptions {
  /** Name of the cell. */
  readonly name: string;
  /** Revision of the record of the hold. */
  readonly revision: number;
  readonly store: CellStore;
}

/** The summary of one holder. */
export class LearnedState {
  readonly #context: LearnedContext;
  readonly #options: LearnedStateOptions;
  /** Runs that the last summary tells of. */
  #writtenRuns = 0;
  #restMs = WRITE_EVERY_MS;
  #closed = false;

  constructor(context: LearnedContext, options: LearnedStateOptions) {
    this.#context = context;
    this.#options = options;
    this.#tellGauges(() => context);
  }

  /** Takes up what former holders have learned; without a readable summary learning starts anew. */
  restore(): ResultAsync<void, never> {
    const { store, name } = this.#options;
    return store.get(learnedKey(name))
      .map((entry) => {
        if (entry === undefined) this.#tellRead("absent");
        else this.#take(entry.value);
      })
      .orElse((failure) => {
        this.#tellRead(failure.type);
        return okAsync(undefined);
      });
  }

  /** Writes until it is closed. */
  async run(): Promise<void> {
    const { clock } = this.#context;
    while (!this.#closed) {
      await sleep(clock, this.#restMs);
      await this.write();
    }
  }

  /** Writes what was learned since the last write, if there is something. */
  async write(): Promise<void> {
    const { clock, runTimes, holds, jobLog } = this.#context;
    const { learnedRuns } = runTimes;
    if (this.#closed || !holds() || learnedRuns === this.#writtenRuns) return;
    // Jobs go first where the store is slow to answer.
    if (jobLog.stuckMs() > 0) return;
    const startedMs = clock.monotonic();
    const value = this.#encode();
    const encodeMs = clock.monotonic() - startedMs;
    this.#restMs = Math.max(WRITE_EVERY_MS, REST_FACTOR * encodeMs);
    if (await this.#put(value)) this.#writtenRuns = learnedRuns;
  }

  /** Writes for the next holder, which waits no longer than `timeoutMs`. */
  async handOver(timeoutMs: number): Promise<void> {
    const limit = sleep(this.#context.clock, timeoutMs);
    await Promise.race([this.write(), limit]);
  }

  /** Writes no more. */
  close(): void {
    this.#closed = true;
    this.#tellGauges(() => undefined);
  }

  /** Gauges of the holder; 0 at an instance that is none, which then keeps nothing of its time as a holder. */
  #tellGauges(holder: () => LearnedContext | undefined): void {
    const { metrics } = this.#context;
    const gauges = {
      learned_classes: () => holder()?.runTimes.classes ?? 0,
      uneven_services: () => holder()?.workerSpeeds.uneven ?? 0,
      time_factor_spread: () => holder()?.workerSpeeds.spread ?? 0,
    };
    for (const [gauge, read] of Object.entries(gauges)) {
      metrics.gauge(gauge, read);
    }
  }

  #encode(): string {
    const { clock, runTimes, workerSpeeds } = this.#context;
    return encodeLearned({
      atMs: clock.now().getTime(),
      runTimes: runTimes.sketch(MOST_CLASSES),
      speeds: workerSpeeds.sketch(),
    });
  }

  async #put(value: string): Promise<boolean> {
    const { name, store, revision } = this.#options;
    const { clock, deposed, metrics } = this.#context;
    const sentMs = clock.monotonic();
    const hold = { key: recordKey(name), revision };
    const result = await store.commit([hold], [
      { type: "put", key: learnedKey(name), value },
    ]);
    const outcome = result.match(
      ({ type }) => type,
      ({ type }) => type,
    );
    metrics.count("learned_writes", { outcome });
    this.#tellWrite({ outcome, bytes: value.length, sentMs });
    if (outcome === "conflict" && !this.#closed) {
      deposed("the hold is another's");
    }
    return outcome === "committed";
  }

  #take(text: string): void {
    const { clock, runTimes, workerSpeeds } = this.#context;
    const learned = decodeLearned(text);
    if (learned === undefined) return this.#tellRead("unreadable");
    const ageMs = Math.max(0, clock.now().getTime() - learned.atMs);
    if (ageMs > OLDEST_MS) return this.#tellRead("old", ageMs);
    runTimes.restore(learned.runTimes);
    const nowMs = clock.monotonic();
    workerSpeeds.restore(learned.speeds, { ageMs, nowMs });
    this.#tellRead("taken", ageMs);
  }

  #tellRead(outcome: string, ageMs?: number): void {
    const { log, fence, runTimes, workerSpeeds } = this.#context;
    log.info("learned.read", {
      fence,
      outcome,
      ageMs,
      classes: runTimes.classes,
      workers: workerSpeeds.size,
    });
  }

  #tellWrite({ outcome, bytes, sentMs }: {
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
