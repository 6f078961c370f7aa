/**
 * Distribution of the run times of one class of work.
 *
 * Load pattern: run times with a long tail, where short runs are observed
 * first. The distribution is the product-limit (Kaplan-Meier) estimate over
 * logarithmic buckets: each bucket counts the runs that passed it and those
 * that ended in it. So a run that is still running, or was stopped, counts in
 * the buckets that it has passed.
 *
 * @module
 */

/**
 * Buckets per doubling of the run time. A bucket is 19 % wide, less than the
 * error that matters for placement.
 */
const BUCKETS_PER_OCTAVE = 4;
/** Upper edge of the first bucket, milliseconds. */
const FIRST_EDGE_MS = 8;
/**
 * Number of buckets. They reach up to 29 minutes; longer runs count as that
 * long.
 */
const BUCKETS = 72;
/**
 * Number of runs after which the weight of an old run has decayed to 1/e. The
 * p90 is then known to 1 % of the runs.
 */
const DECAY_RUNS = 1_000;
/**
 * The weights are scaled down when the weight of a new run exceeds this, far
 * below the limit of their precision.
 */
const MAX_SCALE = 64;
/**
 * Largest residual of one run in the typical run time, natural logarithm: a run
 * seven times as long counts as one 2.7 times as long.
 */
const MAX_LOG_RESIDUAL = 1;
/** Minimum weight of one run in the typical run time. */
const MIN_TYPICAL_WEIGHT = 1 / 200;

/**
 * Cached quantiles are kept until this share of the runs has changed, which
 * moves them by less than a bucket.
 */
const CACHE_STALE_SHARE = 1 / 32;
/** Maximum number of quantiles that are cached. */
const MAX_CACHED_QUANTILES = 3;
const NO_CACHED_QUANTILES = [] as const;
/** Quantiles that a summary of a distribution contains. */
const SUMMARY_QUANTILES = [0.05, 0.25, 0.5, 0.75, 0.9, 0.97, 0.995] as const;
/**
 * Maximum number of runs as which a restored distribution counts, so that
 * changes since the summary show soon.
 */
const MAX_SUMMARY_RUNS = 200;

/** Summary of a distribution, as stored. */
export interface DistributionSummary {
  readonly runs: number;
  readonly typicalMs: number;
  /**
   * Run times at the quantiles 0.05, 0.25, 0.5, 0.75, 0.9, 0.97 and 0.995,
   * milliseconds.
   */
  readonly quantilesMs: readonly number[];
}

/** Index of the bucket of a run time in milliseconds. */
export function bucketOf(ms: number): number {
  const octaves = Math.log2(Math.max(ms, 1) / FIRST_EDGE_MS);
  const bucket = Math.floor(octaves * BUCKETS_PER_OCTAVE) + 1;
  return Math.min(BUCKETS - 1, Math.max(0, bucket));
}

/** Distribution of the run times of one class. */
export class Distribution {
  /**
   * For each bucket the weight of the runs that passed it, followed by the
   * weights of the runs that ended in each.
   */
  readonly #weights = new Float32Array(2 * BUCKETS);
  /**
   * Weight of the next run. It grows with each run, instead of the weights of
   * all old runs shrinking.
   */
  #scale = 1;
  #runs = 0;
  #typicalLog = 0;
  /** Calls of {@linkcode Distribution.recordPassed} since it last cleared the cached quantiles. */
  #changes = 0;
  /** The quantiles that were requested last. */
  #cachedQuantiles: readonly (readonly [quantile: number, ms: number])[] =
    NO_CACHED_QUANTILES;

  /**
   * Number of runs that ended, at most the {@linkcode DECAY_RUNS} that are
   * remembered.
   */
  get runs(): number {
    return this.#runs;
  }

  /**
   * Typical run time, milliseconds: a mean of logarithms on which a single run
   * has little influence.
   */
  get typicalMs(): number {
    return Math.exp(this.#typicalLog);
  }

  /**
   * Records that a run has passed the buckets from `from` to the one before
   * `to`.
   */
  recordPassed(from: number, to: number): void {
    for (let bucket = from; bucket < to; bucket++) {
      this.#weights[bucket]! += this.#scale;
    }
    this.#changes++;
    if (this.#changes < CACHE_STALE_SHARE * this.#runs) return;
    this.#changes = 0;
    this.#cachedQuantiles = NO_CACHED_QUANTILES;
  }

  /**
   * Records that a run ended after `ms` milliseconds. The run has already been
   * recorded as passing the buckets before `from`.
   */
  recordEnd(ms: number, from = 0): void {
    const bucket = bucketOf(ms);
    this.recordPassed(from, bucket);
    this.#weights[BUCKETS + bucket]! += this.#scale;
    this.#scale *= 1 + 1 / DECAY_RUNS;
    if (this.#scale > MAX_SCALE) this.#rescaleWeights(1 / this.#scale);
    this.#runs = Math.min(this.#runs + 1, DECAY_RUNS);
    const log = Math.log(Math.max(ms, 1));
    if (this.#runs === 1) this.#typicalLog = log;
    const residual = Math.min(
      MAX_LOG_RESIDUAL,
      Math.max(-MAX_LOG_RESIDUAL, log - this.#typicalLog),
    );
    this.#typicalLog += Math.max(MIN_TYPICAL_WEIGHT, 1 / this.#runs) * residual;
  }

  /**
   * Run time that a share `quantile` of the runs does not exceed, milliseconds;
   * 0 without runs.
   */
  quantileMs(quantile: number): number {
    for (const [cachedQuantile, ms] of this.#cachedQuantiles) {
      if (cachedQuantile === quantile) return ms;
    }
    const found = this.#findTimeMs(1 - quantile, 0);
    const recent = this.#cachedQuantiles.slice(1 - MAX_CACHED_QUANTILES);
    this.#cachedQuantiles = [...recent, [quantile, found]];
    return found;
  }

  /**
   * Median remaining time of a run that has lasted `elapsedMs`, milliseconds.
   */
  remainingMs(elapsedMs: number): number {
    return Math.max(0, this.#findTimeMs(0.5, bucketOf(elapsedMs)) - elapsedMs);
  }

  /** Summary of the distribution. */
  summarize(): DistributionSummary {
    return {
      runs: this.#runs,
      typicalMs: Math.round(this.typicalMs),
      quantilesMs: SUMMARY_QUANTILES.map((quantile) =>
        Math.round(this.quantileMs(quantile))
      ),
    };
  }

  /** Replaces the distribution by the one of a summary. */
  restore({ runs, typicalMs, quantilesMs }: DistributionSummary): void {
    this.#runs = Math.min(runs, MAX_SUMMARY_RUNS);
    this.#typicalLog = Math.log(Math.max(1, typicalMs));
    this.#scale = 1;
    this.#cachedQuantiles = NO_CACHED_QUANTILES;
    this.#weights.fill(0);
    let previous = 0;
    for (const [index, quantile] of [...SUMMARY_QUANTILES, 1].entries()) {
      const to = bucketOf(quantilesMs[index] ?? quantilesMs.at(-1) ?? 0);
      const from = bucketOf(quantilesMs[Math.max(0, index - 1)] ?? 0);
      this.#addEnded((quantile - previous) * this.#runs, { from, to });
      previous = quantile;
    }
    let passed = 0;
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket--) {
      this.#weights[bucket] = passed;
      passed += this.#weights[BUCKETS + bucket]!;
    }
  }

  /** Spreads ended runs of a total weight evenly over some buckets. */
  #addEnded(
    weight: number,
    { from, to }: { readonly from: number; readonly to: number },
  ): void {
    const buckets = Math.max(1, to - from + 1);
    for (let bucket = from; bucket < from + buckets; bucket++) {
      this.#weights[BUCKETS + bucket]! += weight / buckets;
    }
  }

  /**
   * Run time that a share `remaining` of the runs that reach bucket `from`
   * exceeds, milliseconds.
   */
  #findTimeMs(remaining: number, from: number): number {
    let surviving = 1;
    for (let bucket = from; bucket < BUCKETS; bucket++) {
      const ended = this.#weights[BUCKETS + bucket]!;
      const reached = ended + this.#weights[bucket]!;
      if (reached === 0 && surviving < 1) return edgeMs(bucket);
      if (reached === 0 || ended === 0) continue;
      const next = surviving * this.#weights[bucket]! / reached;
      if (next <= remaining) {
        return edgeMs(bucket + (surviving - remaining) / (surviving - next));
      }
      surviving = next;
    }
    return this.#longestMs();
  }

  /** Upper bound of the longest run time seen, milliseconds. */
  #longestMs(): number {
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket--) {
      const weight = this.#weights[bucket]! + this.#weights[BUCKETS + bucket]!;
      if (weight > 0) return edgeMs(bucket + 1);
    }
    return 0;
  }

  #rescaleWeights(factor: number): void {
    this.#scale *= factor;
    for (const [index, weight] of this.#weights.entries()) {
      this.#weights[index] = weight * factor;
    }
  }
}

/**
 * Lower edge of a bucket, milliseconds. A fraction interpolates within the
 * bucket.
 */
function edgeMs(bucket: number): number {
  return FIRST_EDGE_MS * 2 ** ((bucket - 1) / BUCKETS_PER_OCTAVE);
}
