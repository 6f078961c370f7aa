/**
 * Sizes of tasks, corrected from what earlier ones of the same team and
 * workload were seen to use.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Resources } from "../types.ts";

/** Whose tasks count as alike. */
export interface EstimateKey {
  readonly team: string;
  readonly workload: string;
}

/** Usage of one running attempt, from a worker's report. */
export interface UsageSample extends EstimateKey {
  readonly attempt: string;
  readonly used: Resources;
}

interface Peak extends EstimateKey {
  cpuMillis: number;
  memoryMib: number;
}

interface History {
  /** Peaks of processors used by ended attempts: the newer and the older half. */
  recent: Histogram;
  older: Histogram;
  maxMemoryMib: number;
  maxCpuMillis: number;
  ended: number;
}

/** Ended attempts before an estimate may be below the declared size. */
const MIN_ENDED = 20;
/** Ended attempts after which the older half of the history is dropped. */
const HISTORY_LENGTH = 512;
/** How many times its declared size work never seen before may use. */
const UNPROVEN_FACTOR = 4;
/** Percentile of the peaks of processors that an estimate covers. */
const CPU_PERCENTILE = 98;
/** Room left above what was seen. */
const MARGIN = 1.05;
/** Teams and workloads remembered at once; the longest unused goes first. */
const MAX_HISTORIES = 2_048;
/** Largest processor usage that is recorded exactly. */
const HIGHEST_CPU_MILLIS = 1 << 20;

/** Bounds of an estimate. */
export interface EstimateOptions {
  /** Capacity of the largest worker; bounds the size of work never seen before. */
  readonly largest?: Resources;
}

/** What tasks of each team and workload really take. */
export class Estimates {
  readonly #histories = new Map<string, History>();
  readonly #peaks = new Map<string, Peak>();

  /** Number of teams and workloads remembered. */
  get size(): number {
    return this.#histories.size;
  }

  /** Whether anything was seen of a team and workload. */
  knows(key: EstimateKey): boolean {
    return this.#histories.has(keyOf(key));
  }

  /** Notes the usage of a running attempt. */
  observe(sample: UsageSample): void {
    const { attempt, team, workload, used } = sample;
    const peak = this.#peaks.get(attempt) ??
      { team, workload, cpuMillis: 0, memoryMib: 0 };
    peak.cpuMillis = Math.max(peak.cpuMillis, used.cpuMillis);
    peak.memoryMib = Math.max(peak.memoryMib, used.memoryMib);
    this.#peaks.set(attempt, peak);
    const history = this.#history(sample);
    history.maxMemoryMib = Math.max(history.maxMemoryMib, peak.memoryMib);
    history.maxCpuMillis = Math.max(history.maxCpuMillis, peak.cpuMillis);
  }

  /** Notes the end of an attempt: its peak becomes part of the history. */
  finish(attempt: string): void {
    const peak = this.#peaks.get(attempt);
    if (peak === undefined) return;
    this.#peaks.delete(attempt);
    const history = this.#history(peak);
    history.recent.recordValue(Math.min(HIGHEST_CPU_MILLIS, peak.cpuMillis));
    history.ended += 1;
    if (history.ended % (HISTORY_LENGTH / 2) === 0) rotate(history);
  }

  /** Forgets an attempt whose peak says nothing, such as one that was stopped. */
  discard(attempt: string): void {
    this.#peaks.delete(attempt);
  }

  /**
   * The size to place by: several times what was declared until anything was
   * seen, at least as declared until enough was, then what was used at most
   * times.
   */
  estimate(
    key: EstimateKey,
    declared: Resources,
    options: EstimateOptions = {},
  ): Resources {
    const history = this.#histories.get(keyOf(key));
    if (history === undefined) {
      return unproven(declared, options.largest ?? declared);
    }
    const seen = {
      cpuMillis: Math.ceil(cpuOf(history) * MARGIN),
      memoryMib: Math.ceil(history.maxMemoryMib * MARGIN),
    };
    if (history.ended >= MIN_ENDED) return { ...declared, ...seen };
    return {
      ...declared,
      cpuMillis: Math.max(declared.cpuMillis, seen.cpuMillis),
      memoryMib: Math.max(declared.memoryMib, seen.memoryMib),
    };
  }

  #history(key: EstimateKey): History {
    const text = keyOf(key);
    const history = this.#histories.get(text) ?? newHistory();
    this.#histories.delete(text);
    this.#histories.set(text, history);
    if (this.#histories.size > MAX_HISTORIES) this.#forgetOldest();
    return history;
  }

  #forgetOldest(): void {
    for (const key of this.#histories.keys()) {
      this.#histories.delete(key);
      return;
    }
  }
}

function unproven(declared: Resources, largest: Resources): Resources {
  const grown = (size: number, most: number) =>
    Math.max(size, Math.min(size * UNPROVEN_FACTOR, most));
  return {
    ...declared,
    cpuMillis: grown(declared.cpuMillis, largest.cpuMillis),
    memoryMib: grown(declared.memoryMib, largest.memoryMib),
  };
}

function cpuOf(history: History): number {
  if (history.ended < MIN_ENDED) return history.maxCpuMillis;
  return Math.max(
    history.recent.getValueAtPercentile(CPU_PERCENTILE),
    history.older.getValueAtPercentile(CPU_PERCENTILE),
  );
}

function rotate(history: History): void {
  const { older } = history;
  older.reset();
  history.older = history.recent;
  history.recent = older;
}

function newHistory(): History {
  return {
    recent: newHistogram(),
    older: newHistogram(),
    maxMemoryMib: 0,
    maxCpuMillis: 0,
    ended: 0,
  };
}

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 16,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_CPU_MILLIS,
    numberOfSignificantValueDigits: 1,
  });
}

function keyOf(key: EstimateKey): string {
  return `${key.team} ${key.workload}`;
}
