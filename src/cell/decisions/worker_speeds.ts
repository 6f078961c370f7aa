/**
 * How fast each worker is, compared with the others of its service.
 *
 * Load pattern: workers of uneven speed among which nobody tells the slow ones,
 * with run times that vary by half and a tail of runs seven times as long.
 *
 * Each run gives the logarithm of its time over the typical time of its class.
 * The influence of one run is bounded. A worker's level is their mean, shrunk
 * towards the mean of its service by how much the levels of the service differ
 * beyond chance. A service whose workers do not differ has factors of exactly 1.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import { LevelTrack } from "./level_track.ts";
import { type JobRuns, runsOf, SharedTimes } from "./shared_times.ts";
import {
  assess,
  type Assessment,
  FIRST_NOISE,
  isOutlier,
} from "./speed_spread.ts";

/** The workers of a service are compared this often, milliseconds: a short run's time. */
const ASSESS_EVERY_MS = 500;
/** And no more often than this for each of them, milliseconds: a comparison costs a microsecond or less a worker. */
const ASSESS_EACH_MS = 0.25;
/** Weight of a run in the noise of a service, which changes with the kinds of work alone. */
const NOISE_RATE = 1 / 2_000;
/** Runs for which the first guess of the noise counts. */
const FIRST_SAMPLES = 50;
/** Smallest noise, natural logarithm: below, factors would follow differences of a few percent. */
const LEAST_NOISE = 0.1;
/** A worker without runs for so long, that its service does not show any more, is dropped, milliseconds. */
const FORGET_MS = 900_000;
/** Most workers that are remembered; today's largest plan has 19,000. */
const MAX_WORKERS = 25_000;
/** Part of its confidence that a worker keeps when its process starts anew. */
const REBORN_CONFIDENCE = 0.2;

/** One worker. */
export interface WorkerSpeed {
  readonly id: string;
  /** The worker as the fleet has it; `undefined` if only a summary told of it. */
  worker: FleetWorker | undefined;
  readonly track: LevelTrack;
  /** Its last jobs. */
  readonly jobs: JobRuns[];
  /** Whether it differs from its service by itself, though the others don't differ. */
  outlier: boolean;
}

/** The workers of one service. */
interface Service {
  readonly speeds: Map<string, WorkerSpeed>;
  /** Variance of a run's logarithm around its worker's level. */
  noise: number;
  samples: number;
  readonly shared: SharedTimes;
  assessment: Assessment;
  assessedMs: number;
}

/** What one run tells. */
export interface SpeedSample {
  /** Time on the worker, milliseconds. */
  readonly tookMs: number;
  /** Typical time of its class on an average worker, milliseconds. */
  readonly typicalMs: number;
  /** Whose task it was: tasks of one job may be long together. */
  readonly job: string;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
}

/** Speeds of one service in few numbers. */
export interface SpeedsSketch {
  readonly service: string;
  readonly noise: number;
  /** Whether the workers of the service differ; else only those are given that differ by themselves. */
  readonly uneven: boolean;
  /** Natural logarithm of each worker's level over the mean, and the runs that it stands for. */
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

  /** Records a run that was done by one worker alone. */
  learn(
    worker: FleetWorker,
    { tookMs, typicalMs, job, nowMs }: SpeedSample,
  ): void {
    const service = this.#serviceNamed(serviceName(worker));
    const speed = this.#open(service, worker);
    const noise = Math.sqrt(service.noise);
    const log = Math.log(Math.max(tookMs, 1) / Math.max(typicalMs, 1));
    const runs = runsOf(speed, job);
    const weight = service.shared.weightOf(runs);
    speed.track.learn(log, { noise, nowMs, weight });
    const bound = LevelTrack.boundOf(noise);
    const difference = Math.min(bound, Math.max(-bound, log - runs.level));
    service.shared.note(runs, { difference, noise: service.noise });
    learnNoise(service, runs, difference);
    if (nowMs - service.assessedMs >= restMs(service)) {
      this.#assess(service, nowMs);
    } else this.#apply(service, speed);
  }

  /** Run time over the typical one from which a run has all the influence that it can have. */
  boundOf(worker: FleetWorker): number {
    const service = this.#services.get(serviceName(worker));
    const level = service?.speeds.get(worker.id)?.track.level ?? 0;
    return Math.exp(
      level + LevelTrack.boundOf(Math.sqrt(service?.noise ?? FIRST_NOISE ** 2)),
    );
  }

  /** Gives a worker that the platform lists anew the speed that is known of it. */
  meet(worker: FleetWorker): void {
    const service = this.#services.get(serviceName(worker));
    const speed = service?.speeds.get(worker.id);
    if (service === undefined || speed === undefined) return;
    speed.worker = worker;
    this.#apply(service, speed);
  }

  /** A worker's process has started anew under its id: its speed is less certain. */
  reborn(worker: FleetWorker): void {
    const service = this.#services.get(serviceName(worker));
    const speed = service?.speeds.get(worker.id);
    if (service === undefined || speed === undefined) return;
    speed.track.doubt(REBORN_CONFIDENCE);
    this.#apply(service, speed);
  }

  /** Ratio of the time factors of the slowest and the fastest worker of the service where they differ most. */
  get spread(): number {
    let most = 1;
    for (const { speeds } of this.#services.values()) {
      let low = Infinity;
      let high = 0;
      for (const { worker } of speeds.values()) {
        if (worker === undefined) continue;
        low = Math.min(low, worker.timeFactor);
        high = Math.max(high, worker.timeFactor);
      }
      if (high > 0) most = Math.max(most, high / low);
    }
    return most;
  }

  /** Services whose workers differ. */
  get uneven(): number {
    return [...this.#services.values()]
      .filter(({ assessment }) => assessment.uneven).length;
  }

  /** Workers that are remembered. */
  get size(): number {
    return this.#size;
  }

  /** Speeds of the services with workers that differ. */
  sketch(): readonly SpeedsSketch[] {
    return [...this.#services].flatMap(([name, service]) => {
      const { speeds, noise, assessment: { uneven, mean } } = service;
      const workers = [...speeds.values()]
        .filter(({ outlier, track }) => track.runs > 0 && (uneven || outlier))
        .map(({ id, track }) => [id, track.level - mean, track.runs] as const);
      return workers.length === 0
        ? []
        : [{ service: name, noise, uneven, workers }];
    });
  }

  /** Takes what was learned until `ageMs` ago; {@linkcode meet} gives it to the workers. */
  restore(
    sketches: readonly SpeedsSketch[],
    { ageMs, nowMs }: { readonly ageMs: number; readonly nowMs: number },
  ): void {
    for (const { service: name, noise, uneven, workers } of sketches) {
      const service = this.#serviceNamed(name);
      service.noise = Math.max(LEAST_NOISE ** 2, noise);
      for (const [id, level, runs] of workers) {
        if (this.#size >= MAX_WORKERS) break;
        const track = new LevelTrack(nowMs);
        track.restore(level, runs, ageMs);
        if (!service.speeds.has(id)) this.#size++;
        const state = { worker: undefined, jobs: [], outlier: !uneven };
        service.speeds.set(id, { id, track, ...state });
      }
      this.#assess(service, nowMs);
    }
  }

  #serviceNamed(name: string): Service {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service: Service = {
      speeds: new Map(),
      noise: FIRST_NOISE ** 2,
      samples: 0,
      shared: new SharedTimes(),
      assessment: { uneven: false, mean: 0, between: 0 },
      assessedMs: -Infinity,
    };
    this.#services.set(name, service);
    return service;
  }

  #open(service: Service, worker: FleetWorker): WorkerSpeed {
    const known = service.speeds.get(worker.id);
    if (known !== undefined) {
      known.worker = worker;
      return known;
    }
    const track = new LevelTrack(0);
    const state = { worker, track, jobs: [], outlier: false };
    const speed: WorkerSpeed = { id: worker.id, ...state };
    service.speeds.set(worker.id, speed);
    this.#size++;
    if (this.#size > MAX_WORKERS) this.#forgetOldest(service);
    return speed;
  }

  #assess(service: Service, nowMs: number): void {
    service.assessedMs = nowMs;
    service.assessment = assess(service.speeds.values(), {
      noise: service.noise,
      before: service.assessment,
    });
    for (const speed of service.speeds.values()) {
      this.#apply(service, speed);
      const isGone = speed.worker === undefined || !speed.worker.listed;
      if (isGone && nowMs - speed.track.atMs > FORGET_MS) {
        service.speeds.delete(speed.id);
        this.#size--;
      }
    }
  }

  #apply({ assessment, noise }: Service, speed: WorkerSpeed): void {
    const { worker, track } = speed;
    speed.outlier = isOutlier(speed, { noise, mean: assessment.mean });
    if (worker === undefined) return;
    if (!assessment.uneven && !speed.outlier) {
      worker.timeFactor = 1;
      return;
    }
    // An outlier by itself stands for more than the spread of the others.
    const doubt = assessment.uneven && assessment.between > 0
      ? Math.min(noise, noise / assessment.between)
      : noise;
    const trust = track.runs / (track.runs + doubt);
    worker.timeFactor = Math.exp(trust * (track.level - assessment.mean));
  }

  #forgetOldest(service: Service): void {
    const [oldest] = service.speeds.keys();
    if (oldest === undefined) return;
    service.speeds.delete(oldest);
    this.#size--;
  }
}

function restMs({ speeds }: Service): number {
  return Math.max(ASSESS_EVERY_MS, ASSESS_EACH_MS * speeds.size);
}

/** Takes the difference of a run from the level of its worker before the run's job. */
function learnNoise(
  service: Service,
  { levelRuns }: JobRuns,
  difference: number,
): void {
  service.samples++;
  // The error of the level is in it.
  const seen = difference ** 2 / (1 + (levelRuns > 0 ? 1 / levelRuns : 0));
  const rate = Math.max(NOISE_RATE, 1 / (FIRST_SAMPLES + service.samples));
  service.noise += rate * (seen - service.noise);
  service.noise = Math.max(LEAST_NOISE ** 2, service.noise);
}

function serviceName(worker: FleetWorker): string {
  return worker.entry?.service ?? "";
}
