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

/** Quantiles are kept until this part of the runs has changed: it moves them by less than a bucket. */
const STALE_PART = 1 / 32;
/** Quantiles of which the run time is kept so long. */
const MOST_KNOWN = 3;
const NONE_KNOWN = [] as const;
/** Quantiles by which a distribution is kept in the summary. */
const SKETCHED = [0.05, 0.25, 0.5, 0.75, 0.9, 0.97, 0.995] as const;
/** Most runs for which a distribution of a summary counts: what has changed since shows soon. */
const SKETCH_RUNS = 200;

/** A distribution in few numbers. */
export interface DistributionSketch {
  readonly runs: number;
  readonly typicalMs: number;
  /** Run times at the quantiles 0.05, 0.25, 0.5, 0.75, 0.9, 0.97 and 0.995, milliseconds. */
  readonly quantilesMs: readonly number[];
}

/** Index of the bucket of a run time in milliseconds. */
export function bucketOf(ms: number): number {
  const octaves = Math.log2(Math.max(ms, 1) / LOWEST_MS);
  const bucket = Math.floor(octaves * BUCKETS_PER_OCTAVE) + 1;
  return Math.min(BUCKETS - 1, Math.max(0, bucket));
}

/** Run times of one class. */
export class Distribution {
  /** Weight of the runs that passed each bucket, then of those that ended in each. */
  readonly #weights = new Float32Array(2 * BUCKETS);
  /** Weight of the next run; it grows in place of the old ones shrinking. */
  #scale = 1;
  #runs = 0;
  #typicalLog = 0;
  /** Changes since quantiles were last reckoned. */
  #changes = 0;
  /** Last quantiles that were asked for. */
  #known: readonly (readonly [quantile: number, ms: number])[] = NONE_KNOWN;

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
      this.#weights[bucket]! += this.#scale;
    }
    this.#changes++;
    if (this.#changes < STALE_PART * this.#runs) return;
    this.#changes = 0;
    this.#known = NONE_KNOWN;
  }

  /** A run that was counted as passing the buckets before `from` ended after `ms`. */
  end(ms: number, from = 0): void {
    const bucket = bucketOf(ms);
    this.pass(from, bucket);
    this.#weights[BUCKETS + bucket]! += this.#scale;
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
    for (const [known, ms] of this.#known) {
      if (known === quantile) return ms;
    }
    const found = this.#find(1 - quantile, 0);
    const kept = this.#known.slice(1 - MOST_KNOWN);
    this.#known = [...kept, [quantile, found]];
    return found;
  }

  /** Median time that a run has left after `elapsedMs`, milliseconds. */
  remainingMs(elapsedMs: number): number {
    return Math.max(0, this.#find(0.5, bucketOf(elapsedMs)) - elapsedMs);
  }

  /** The distribution in few numbers. */
  sketch(): DistributionSketch {
    return {
      runs: this.#runs,
      typicalMs: Math.round(this.typicalMs),
      quantilesMs: SKETCHED.map((one) => Math.round(this.quantileMs(one))),
    };
  }

  /** Takes a sketch in place of what was known. */
  restore({ runs, typicalMs, quantilesMs }: DistributionSketch): void {
    this.#runs = Math.min(runs, SKETCH_RUNS);
    this.#typicalLog = Math.log(Math.max(1, typicalMs));
    this.#scale = 1;
    this.#known = NONE_KNOWN;
    this.#weights.fill(0);
    let before = 0;
    for (const [index, quantile] of [...SKETCHED, 1].entries()) {
      const to = bucketOf(quantilesMs[index] ?? quantilesMs.at(-1) ?? 0);
      const from = bucketOf(quantilesMs[Math.max(0, index - 1)] ?? 0);
      this.#spread((quantile - before) * this.#runs, { from, to });
      before = quantile;
    }
    let left = 0;
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket--) {
      this.#weights[bucket] = left;
      left += this.#weights[BUCKETS + bucket]!;
    }
  }

  /** Lets a weight of runs end evenly in some buckets. */
  #spread(
    weight: number,
    { from, to }: { readonly from: number; readonly to: number },
  ): void {
    const buckets = Math.max(1, to - from + 1);
    for (let bucket = from; bucket < from + buckets; bucket++) {
      this.#weights[BUCKETS + bucket]! += weight / buckets;
    }
  }

  /** Run time that a share `left` of the runs that reach bucket `from` exceeds. */
  #find(left: number, from: number): number {
    let share = 1;
    for (let bucket = from; bucket < BUCKETS; bucket++) {
      const ended = this.#weights[BUCKETS + bucket]!;
      const reached = ended + this.#weights[bucket]!;
      if (reached === 0 && share < 1) return edgeMs(bucket);
      if (reached === 0 || ended === 0) continue;
      const next = share * this.#weights[bucket]! / reached;
      if (next <= left) {
        return edgeMs(bucket + (share - left) / (share - next));
      }
      share = next;
    }
    return this.#lastMs();
  }

  /** Time that the longest run has reached. */
  #lastMs(): number {
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket--) {
      const weight = this.#weights[bucket]! + this.#weights[BUCKETS + bucket]!;
      if (weight > 0) return edgeMs(bucket + 1);
    }
    return 0;
  }

  #rescale(factor: number): void {
    this.#scale *= factor;
    for (const [index, weight] of this.#weights.entries()) {
      this.#weights[index] = weight * factor;
    }
  }
}

/** Lower edge of a bucket, or a place within one, milliseconds. */
function edgeMs(bucket: number): number {
  return LOWEST_MS * 2 ** ((bucket - 1) / BUCKETS_PER_OCTAVE);
}
