/**
 * Distribution of the run times of one class of work.
 *
 * Load pattern: run times with a long tail, of which the short ones are seen
 * first. The estimate is the product-limit estimate over buckets of the
 * logarithm: each bucket knows how many runs passed it and how many ended in
 * it, so a run that is still running, or was stopped, counts as far as it got.
 *
 * @module
 */

/** Buckets for each doubling: 19 % wide, below the error that placement notices. */
const BUCKETS_PER_OCTAVE = 4;
/** Upper edge of the first bucket, milliseconds. */
const LOWEST_MS = 8;
/** Buckets up to 35 minutes; longer runs count as that long. */
const BUCKETS = 72;
/** Runs after which an old one counts 1/e: the p90 is then known to 1 % of the runs. */
const MEMORY_RUNS = 1_000;
/** Weights are scaled down beyond this, far from the limits of their precision. */
const MAX_SCALE = 64;
/** Largest step of the typical run time, natural logarithm: a run seven times as long counts as one 2.7 times as long. */
const MAX_SURPRISE = 1;
/** Smallest weight of a run in the typical run time. */
const TYPICAL_RATE = 1 / 200;

/** A distribution as numbers, for the summary of what was learned. */
export interface DistributionRecord {
  readonly runs: number;
  readonly typicalLog: number;
  /** First bucket that is given. */
  readonly from: number;
  /** Weight of the runs that passed each bucket. */
  readonly passed: readonly number[];
  /** Weight of the runs that ended in each bucket. */
  readonly ended: readonly number[];
}

/** Index of the bucket of a run time in milliseconds. */
export function bucketOf(ms: number): number {
  const octaves = Math.log2(Math.max(ms, 1) / LOWEST_MS);
  const bucket = Math.floor(octaves * BUCKETS_PER_OCTAVE) + 1;
  return Math.min(BUCKETS - 1, Math.max(0, bucket));
}

/** Run times of one class. */
export class Distribution {
  readonly #passed = new Float32Array(BUCKETS);
  readonly #ended = new Float32Array(BUCKETS);
  /** Weight of the next run; it grows in place of the old ones shrinking. */
  #scale = 1;
  #runs = 0;
  #typicalLog = 0;
  /** Quantiles since the last change. */
  readonly #known = new Map<number, number>();

  /** Runs that ended, up to those that are remembered. */
  get runs(): number {
    return this.#runs;
  }

  /** Typical run time, milliseconds: a mean of logarithms on which one run has little influence. */
  get typicalMs(): number {
    return Math.exp(this.#typicalLog);
  }

  /** A run has passed the buckets from `from` to the one before `to`. */
  pass(from: number, to: number): void {
    for (let bucket = from; bucket < to; bucket++) {
      this.#passed[bucket]! += this.#scale;
    }
    this.#known.clear();
  }

  /** A run that was counted as passing the buckets before `from` ended after `ms`. */
  end(ms: number, from = 0): void {
    const bucket = bucketOf(ms);
    this.pass(from, bucket);
    this.#ended[bucket]! += this.#scale;
    this.#scale *= 1 + 1 / MEMORY_RUNS;
    if (this.#scale > MAX_SCALE) this.#rescale(1 / this.#scale);
    this.#runs = Math.min(this.#runs + 1, MEMORY_RUNS);
    const log = Math.log(Math.max(ms, 1));
    if (this.#runs === 1) this.#typicalLog = log;
    const surprise = Math.min(
      MAX_SURPRISE,
      Math.max(-MAX_SURPRISE, log - this.#typicalLog),
    );
    this.#typicalLog += Math.max(TYPICAL_RATE, 1 / this.#runs) * surprise;
  }

  /** Run time that a share `quantile` of the runs does not exceed, milliseconds; 0 without runs. */
  quantileMs(quantile: number): number {
    const known = this.#known.get(quantile);
    if (known !== undefined) return known;
    const found = this.#find(1 - quantile, 0);
    this.#known.set(quantile, found);
    return found;
  }

  /** Median time that a run has left after `elapsedMs`, milliseconds. */
  remainingMs(elapsedMs: number): number {
    return Math.max(0, this.#find(0.5, bucketOf(elapsedMs)) - elapsedMs);
  }

  /** Numbers for the summary. */
  record(): DistributionRecord {
    const weights = [...this.#passed].map((one, at) => one + this.#ended[at]!);
    const from = Math.max(0, weights.findIndex((weight) => weight > 0));
    const to = 1 + weights.findLastIndex((weight) => weight > 0);
    const short = (weight: number) => Number((weight / this.#scale).toFixed(1));
    return {
      runs: this.#runs,
      typicalLog: Number(this.#typicalLog.toFixed(3)),
      from,
      passed: [...this.#passed.subarray(from, to)].map(short),
      ended: [...this.#ended.subarray(from, to)].map(short),
    };
  }

  /** Takes the numbers of a summary in place of what was known. */
  restore({ runs, typicalLog, from, passed, ended }: DistributionRecord): void {
    this.#runs = runs;
    this.#typicalLog = typicalLog;
    this.#scale = 1;
    this.#passed.fill(0);
    this.#ended.fill(0);
    this.#passed.set(passed.slice(0, BUCKETS - from), from);
    this.#ended.set(ended.slice(0, BUCKETS - from), from);
    this.#known.clear();
  }

  /** Run time that a share `left` of the runs that reach bucket `from` exceeds. */
  #find(left: number, from: number): number {
    let share = 1;
    for (let bucket = from; bucket < BUCKETS; bucket++) {
      const ended = this.#ended[bucket]!;
      const reached = ended + this.#passed[bucket]!;
      if (reached === 0 && share < 1) return edgeMs(bucket);
      if (reached === 0 || ended === 0) continue;
      const next = share * this.#passed[bucket]! / reached;
      if (next <= left) {
        return edgeMs(bucket + (share - left) / (share - next));
      }
      share = next;
    }
    return this.#lastMs();
  }

  /** Time that the longest run has reached. */
  #lastMs(): number {
    const last = this.#passed.findLastIndex((weight) => weight > 0);
    const end = this.#ended.findLastIndex((weight) => weight > 0);
    const bucket = Math.max(last, end);
    return bucket < 0 ? 0 : edgeMs(bucket + 1);
  }

  #rescale(factor: number): void {
    this.#scale *= factor;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.#passed[bucket]! *= factor;
      this.#ended[bucket]! *= factor;
    }
  }
}

/** Lower edge of a bucket, or a place within one, milliseconds. */
function edgeMs(bucket: number): number {
  return LOWEST_MS * 2 ** ((bucket - 1) / BUCKETS_PER_OCTAVE);
}
