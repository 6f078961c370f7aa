/**
 * Estimates task sizes from the usage of earlier attempts of the same team and workload.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Resources } from "../types.ts";

/** Attempts with the same key share one usage history. */
export interface EstimateKey {
  readonly team: string;
  readonly workload: string;
}

/** Usage of one running attempt, as its worker reported it. */
export interface UsageSample extends EstimateKey {
  readonly attempt: string;
  readonly used: Resources;
}

interface AttemptPeak extends EstimateKey {
  cpuMillis: number;
  memoryMib: number;
}

interface UsageHistory {
  /** Processor peaks of completed attempts, in two histograms for the newer and the older half. */
  recentCpuPeaks: Histogram;
  olderCpuPeaks: Histogram;
  maxMemoryMib: number;
  maxCpuMillis: number;
  completed: number;
}

/** Completed attempts required before an estimate may be below the declared size. */
const MIN_COMPLETED = 20;
/** Maximum number of completed attempts in the history; the older half is dropped when it is reached. */
const MAX_HISTORY_ATTEMPTS = 512;
/** Estimate for work without any history, as a multiple of its declared size. */
const UNSEEN_SIZE_FACTOR = 4;
/** Percentile of the processor peaks that an estimate covers. */
const CPU_PERCENTILE = 98;
/** Safety margin: factor applied to observed usage. */
const SAFETY_FACTOR = 1.05;
/** Maximum number of histories; the least recently used one is evicted. */
const MAX_HISTORIES = 2_048;
/** Largest processor usage that is recorded; larger values are clamped. */
const MAX_RECORDED_CPU_MILLIS = 1 << 20;

/** Limits of an estimate. */
export interface EstimateOptions {
  /** Capacity of the largest worker, an upper bound for work without any history. */
  readonly largest?: Resources;
}

/** Estimates the actual size of tasks by team and workload. */
export class TaskSizeEstimator {
  readonly #histories = new Map<string, UsageHistory>();
  readonly #peaks = new Map<string, AttemptPeak>();

  /** Number of teams and workloads with a history. */
  get size(): number {
    return this.#histories.size;
  }

  /** Whether usage of this team and workload has been observed. */
  hasHistory(key: EstimateKey): boolean {
    return this.#histories.has(keyOf(key));
  }

  /** Records the usage of a running attempt. */
  recordUsage(sample: UsageSample): void {
    const { attempt, team, workload, used } = sample;
    const peak = this.#peaks.get(attempt) ??
      { team, workload, cpuMillis: 0, memoryMib: 0 };
    peak.cpuMillis = Math.max(peak.cpuMillis, used.cpuMillis);
    peak.memoryMib = Math.max(peak.memoryMib, used.memoryMib);
    this.#peaks.set(attempt, peak);
    const history = this.#touchHistory(sample);
    history.maxMemoryMib = Math.max(history.maxMemoryMib, peak.memoryMib);
    history.maxCpuMillis = Math.max(history.maxCpuMillis, peak.cpuMillis);
  }

  /** Adds the peak usage of a completed attempt to the history. */
  recordCompletion(attempt: string): void {
    const peak = this.#peaks.get(attempt);
    if (peak === undefined) return;
    this.#peaks.delete(attempt);
    const history = this.#touchHistory(peak);
    history.recentCpuPeaks.recordValue(
      Math.min(MAX_RECORDED_CPU_MILLIS, peak.cpuMillis),
    );
    history.completed += 1;
    if (history.completed % (MAX_HISTORY_ATTEMPTS / 2) === 0) rotate(history);
  }

  /** Drops an attempt whose peak isn't representative, such as a stopped one. */
  discard(attempt: string): void {
    this.#peaks.delete(attempt);
  }

  /**
   * The size used for placement. Without any history, a multiple of the declared size; with too few
   * completed attempts, at least the declared size; after that, observed usage with a safety
   * margin: a high percentile of the processor peaks and the maximum of memory.
   */
  estimate(
    key: EstimateKey,
    declared: Resources,
    options: EstimateOptions = {},
  ): Resources {
    const history = this.#histories.get(keyOf(key));
    if (history === undefined) {
      return estimateUnseen(declared, options.largest ?? declared);
    }
    const observed = {
      cpuMillis: Math.ceil(expectedCpuMillis(history) * SAFETY_FACTOR),
      memoryMib: Math.ceil(history.maxMemoryMib * SAFETY_FACTOR),
    };
    if (history.completed >= MIN_COMPLETED) return { ...declared, ...observed };
    return {
      ...declared,
      cpuMillis: Math.max(declared.cpuMillis, observed.cpuMillis),
      memoryMib: Math.max(declared.memoryMib, observed.memoryMib),
    };
  }

  #touchHistory(key: EstimateKey): UsageHistory {
    const text = keyOf(key);
    const history = this.#histories.get(text) ?? newHistory();
    this.#histories.delete(text);
    this.#histories.set(text, history);
    if (this.#histories.size > MAX_HISTORIES) this.#evictLeastRecentlyUsed();
    return history;
  }

  #evictLeastRecentlyUsed(): void {
    for (const key of this.#histories.keys()) {
      this.#histories.delete(key);
      return;
    }
  }
}

function estimateUnseen(declared: Resources, largest: Resources): Resources {
  const scaled = (size: number, max: number) =>
    Math.max(size, Math.min(size * UNSEEN_SIZE_FACTOR, max));
  return {
    ...declared,
    cpuMillis: scaled(declared.cpuMillis, largest.cpuMillis),
    memoryMib: scaled(declared.memoryMib, largest.memoryMib),
  };
}

function expectedCpuMillis(history: UsageHistory): number {
  if (history.completed < MIN_COMPLETED) return history.maxCpuMillis;
  return Math.max(
    history.recentCpuPeaks.getValueAtPercentile(CPU_PERCENTILE),
    history.olderCpuPeaks.getValueAtPercentile(CPU_PERCENTILE),
  );
}

function rotate(history: UsageHistory): void {
  const { olderCpuPeaks } = history;
  olderCpuPeaks.reset();
  history.olderCpuPeaks = history.recentCpuPeaks;
  history.recentCpuPeaks = olderCpuPeaks;
}

function newHistory(): UsageHistory {
  return {
    recentCpuPeaks: newHistogram(),
    olderCpuPeaks: newHistogram(),
    maxMemoryMib: 0,
    maxCpuMillis: 0,
    completed: 0,
  };
}

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 16,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_CPU_MILLIS,
    numberOfSignificantValueDigits: 1,
  });
}

function keyOf(key: EstimateKey): string {
  return `${key.team} ${key.workload}`;
}
