/**
 * Learns the speed of each worker relative to the others of its service.
 *
 * Load pattern: workers of uneven speed where nothing tells which ones are
 * slow, and run times that vary by half, with a tail of runs seven times as
 * long.
 *
 * Each run contributes the logarithm of its run time relative to the typical
 * run time of its class. The influence of a single run is bounded. The level of
 * a worker is the mean of these values. Its time factor is the level shrunk
 * towards the mean of the service, depending on how much the levels of the
 * service differ by more than chance. In a service whose workers do not differ,
 * all time factors are exactly 1.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import { LevelEstimator } from "./level_estimator.ts";
import { JobCorrelation, type JobRuns, jobRunsOf } from "./job_correlation.ts";
import {
  assessSpeeds,
  isOutlier,
  PRIOR_NOISE,
  type SpeedAssessment,
} from "./speed_spread.ts";

/**
 * Shortest interval between comparisons of a service's workers, milliseconds:
 * the duration of a short run.
 */
const ASSESS_INTERVAL_MS = 500;
/**
 * The interval is at least this long for each worker of the service,
 * milliseconds: a comparison costs up to a microsecond per worker.
 */
const ASSESS_INTERVAL_PER_WORKER_MS = 0.25;
/**
 * Smallest weight of a run in the noise of a service, which changes only with
 * the kinds of work.
 */
const MIN_NOISE_RATE = 1 / 2_000;
/** Number of runs that the prior noise is worth. */
const PRIOR_SAMPLES = 50;
/**
 * Smallest noise, natural logarithm. With less, time factors would follow
 * differences of a few percent.
 */
const MIN_NOISE = 0.1;
/**
 * Time without runs after which a worker that is no longer listed is dropped,
 * milliseconds.
 */
const UNLISTED_RETENTION_MS = 900_000;
/**
 * Most workers that are remembered; the largest planned deployment has 19,000.
 */
const MAX_WORKERS = 25_000;
/**
 * Share of the confidence in a worker's level that remains when its process
 * restarts.
 */
const RESTART_CONFIDENCE = 0.2;

/** What is known of one worker's speed. */
export interface WorkerSpeed {
  readonly id: string;
  /**
   * The worker in the fleet; `undefined` if it is only known from a stored
   * summary.
   */
  worker: FleetWorker | undefined;
  readonly level: LevelEstimator;
  /** Its last jobs. */
  readonly jobs: JobRuns[];
  /**
   * Whether it differs from the mean of its service although the service as a
   * whole is even.
   */
  outlier: boolean;
}

/** The workers of one service. */
interface Service {
  readonly speeds: Map<string, WorkerSpeed>;
  /** Variance of the logarithm of a run time around its worker's level. */
  noise: number;
  samples: number;
  readonly jobCorrelation: JobCorrelation;
  assessment: SpeedAssessment;
  assessedMs: number;
}

/** Run time of one run, for learning its worker's speed. */
export interface SpeedSample {
  /** Time on the worker, milliseconds. */
  readonly elapsedMs: number;
  /** Typical run time of the run's class on an average worker, milliseconds. */
  readonly typicalMs: number;
  /** Job of the run: the run times of one job's tasks may be correlated. */
  readonly job: string;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
}

/** Summary of the speeds of one service, as stored. */
export interface SpeedsSummary {
  readonly service: string;
  readonly noise: number;
  /**
   * Whether the workers of the service differ. If not, `workers` contains only
   * outliers.
   */
  readonly uneven: boolean;
  /**
   * For each worker the natural logarithm of its level relative to the mean of
   * the service, and the runs that it is worth.
   */
  readonly workers: readonly (readonly [
    id: string,
    level: number,
    runs: number,
  ])[];
}

/** Speeds learned from runs. */
export class WorkerSpeeds {
  readonly #services = new Map<string, Service>();
  #size = 0;

  /** Records a completed run whose time depended on one worker alone. */
  record(
    worker: FleetWorker,
    { elapsedMs, typicalMs, job, nowMs }: SpeedSample,
  ): void {
    const service = this.#getOrCreateService(serviceName(worker));
    const speed = this.#getOrCreate(service, worker);
    const noise = Math.sqrt(service.noise);
    const log = Math.log(Math.max(elapsedMs, 1) / Math.max(typicalMs, 1));
    const jobRuns = jobRunsOf(speed, job);
    const weight = service.jobCorrelation.weightOf(jobRuns);
    speed.level.update(log, { noise, nowMs, weight });
    const bound = LevelEstimator.maxResidual(noise);
    const difference = Math.min(
      bound,
      Math.max(-bound, log - jobRuns.startLevel),
    );
    service.jobCorrelation.record(jobRuns, {
      difference,
      noise: service.noise,
    });
    updateNoise(service, jobRuns, difference);
    if (nowMs - service.assessedMs >= assessIntervalMs(service)) {
      this.#assessService(service, nowMs);
    } else this.#applyTimeFactor(service, speed);
  }

  /**
   * Ratio of a run time to the typical one above which a longer run has no more
   * influence on the worker's level.
   */
  maxInfluenceRatio(worker: FleetWorker): number {
    const service = this.#services.get(serviceName(worker));
    const level = service?.speeds.get(worker.id)?.level.value ?? 0;
    return Math.exp(
      level +
        LevelEstimator.maxResidual(
          Math.sqrt(service?.noise ?? PRIOR_NOISE ** 2),
        ),
    );
  }

  /** Sets the time factor of a newly listed worker from what is known of it. */
  restoreWorker(worker: FleetWorker): void {
    const service = this.#services.get(serviceName(worker));
    const speed = service?.speeds.get(worker.id);
    if (service === undefined || speed === undefined) return;
    speed.worker = worker;
    this.#applyTimeFactor(service, speed);
  }

  /**
   * Records that a worker's process restarted under the same id, which makes
   * its speed less certain.
   */
  recordRestart(worker: FleetWorker): void {
    const service = this.#services.get(serviceName(worker));
    const speed = service?.speeds.get(worker.id);
    if (service === undefined || speed === undefined) return;
    speed.level.scaleConfidence(RESTART_CONFIDENCE);
    this.#applyTimeFactor(service, speed);
  }

  /**
   * Ratio of the time factors of the slowest and the fastest worker, for the
   * service where it is largest.
   */
  get spread(): number {
    let maxRatio = 1;
    for (const { speeds } of this.#services.values()) {
      let low = Infinity;
      let high = 0;
      for (const { worker } of speeds.values()) {
        if (worker === undefined) continue;
        low = Math.min(low, worker.timeFactor);
        high = Math.max(high, worker.timeFactor);
      }
      if (high > 0) maxRatio = Math.max(maxRatio, high / low);
    }
    return maxRatio;
  }

  /** Number of services whose workers differ. */
  get unevenServices(): number {
    return [...this.#services.values()]
      .filter(({ assessment }) => assessment.uneven).length;
  }

  /** Number of workers that are remembered. */
  get size(): number {
    return this.#size;
  }

  /** Summary of the services with workers that differ. */
  summarize(): readonly SpeedsSummary[] {
    return [...this.#services].flatMap(([name, service]) => {
      const { speeds, noise, assessment: { uneven, mean } } = service;
      const workers = [...speeds.values()]
        .filter(({ outlier, level }) => level.runs > 0 && (uneven || outlier))
        .map(({ id, level }) => [id, level.value - mean, level.runs] as const);
      return workers.length === 0
        ? []
        : [{ service: name, noise, uneven, workers }];
    });
  }

  /**
   * Restores summaries that were current `ageMs` ago. The workers get their
   * time factors in {@linkcode restoreWorker}.
   */
  restore(
    summaries: readonly SpeedsSummary[],
    { ageMs, nowMs }: { readonly ageMs: number; readonly nowMs: number },
  ): void {
    for (const { service: name, noise, uneven, workers } of summaries) {
      const service = this.#getOrCreateService(name);
      service.noise = Math.max(MIN_NOISE ** 2, noise);
      for (const [id, value, runs] of workers) {
        if (this.#size >= MAX_WORKERS) break;
        const level = new LevelEstimator(nowMs);
        level.restore(value, runs, ageMs);
        if (!service.speeds.has(id)) this.#size++;
        const state = { worker: undefined, jobs: [], outlier: !uneven };
        service.speeds.set(id, { id, level, ...state });
      }
      this.#assessService(service, nowMs);
    }
  }

  #getOrCreateService(name: string): Service {
    const existing = this.#services.get(name);
    if (existing !== undefined) return existing;
    const service: Service = {
      speeds: new Map(),
      noise: PRIOR_NOISE ** 2,
      samples: 0,
      jobCorrelation: new JobCorrelation(),
      assessment: { uneven: false, mean: 0, betweenVariance: 0 },
      assessedMs: -Infinity,
    };
    this.#services.set(name, service);
    return service;
  }

  #getOrCreate(service: Service, worker: FleetWorker): WorkerSpeed {
    const existing = service.speeds.get(worker.id);
    if (existing !== undefined) {
      existing.worker = worker;
      return existing;
    }
    const level = new LevelEstimator(0);
    const state = { worker, level, jobs: [], outlier: false };
    const speed: WorkerSpeed = { id: worker.id, ...state };
    service.speeds.set(worker.id, speed);
    this.#size++;
    if (this.#size > MAX_WORKERS) this.#evictOldest(service);
    return speed;
  }

  #assessService(service: Service, nowMs: number): void {
    service.assessedMs = nowMs;
    service.assessment = assessSpeeds(service.speeds.values(), {
      noise: service.noise,
      previous: service.assessment,
    });
    for (const speed of service.speeds.values()) {
      this.#applyTimeFactor(service, speed);
      const isUnlisted = speed.worker === undefined || !speed.worker.listed;
      if (
        isUnlisted && nowMs - speed.level.updatedMs > UNLISTED_RETENTION_MS
      ) {
        service.speeds.delete(speed.id);
        this.#size--;
      }
    }
  }

  #applyTimeFactor({ assessment, noise }: Service, speed: WorkerSpeed): void {
    const { worker, level } = speed;
    speed.outlier = isOutlier(speed, { noise, mean: assessment.mean });
    if (worker === undefined) return;
    if (!assessment.uneven && !speed.outlier) {
      worker.timeFactor = 1;
      return;
    }
    // An outlier in an even service is trusted more than the variance between
    // the other workers would allow.
    const priorRuns = assessment.uneven && assessment.betweenVariance > 0
      ? Math.min(noise, noise / assessment.betweenVariance)
      : noise;
    const shrinkage = level.runs / (level.runs + priorRuns);
    worker.timeFactor = Math.exp(shrinkage * (level.value - assessment.mean));
  }

  #evictOldest(service: Service): void {
    const [oldest] = service.speeds.keys();
    if (oldest === undefined) return;
    service.speeds.delete(oldest);
    this.#size--;
  }
}

function assessIntervalMs({ speeds }: Service): number {
  return Math.max(
    ASSESS_INTERVAL_MS,
    ASSESS_INTERVAL_PER_WORKER_MS * speeds.size,
  );
}

/**
 * Updates the noise with the difference of a run from its worker's level before
 * the run's job.
 */
function updateNoise(
  service: Service,
  { levelRuns }: JobRuns,
  difference: number,
): void {
  service.samples++;
  // The difference contains the error of the level.
  const sample = difference ** 2 / (1 + (levelRuns > 0 ? 1 / levelRuns : 0));
  const rate = Math.max(MIN_NOISE_RATE, 1 / (PRIOR_SAMPLES + service.samples));
  service.noise += rate * (sample - service.noise);
  service.noise = Math.max(MIN_NOISE ** 2, service.noise);
}

function serviceName(worker: FleetWorker): string {
  return worker.entry?.service ?? "";
}
