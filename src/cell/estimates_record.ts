/**
 * Encodes the learned estimates for the store.
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import type { RunTimesSummary } from "./decisions/run_times.ts";
import type { SpeedsSummary } from "./decisions/worker_speeds.ts";

/** Version of the format. Records of another version are ignored. */
const FORMAT_VERSION = 1;
/** Logarithms are stored in steps of 1/100: about one percent. */
const STEPS_PER_LOG_UNIT = 100;

const Record = t.type({
  format: t.literal(FORMAT_VERSION),
  /** Time of writing, Unix milliseconds. */
  atMs: t.number,
  means: t.array(t.tuple([t.string, t.number])),
  errors: t.array(t.tuple([t.string, t.number])),
  /**
   * Class key, number of runs, typical time (milliseconds), quantiles
   * (milliseconds).
   */
  classes: t.array(t.tuple([t.string, t.number, t.number, t.array(t.number)])),
  /**
   * Service name, noise, whether the speeds of its workers differ, and for each
   * worker its id, speed level and weighted number of runs.
   */
  services: t.array(
    t.tuple([
      t.string,
      t.number,
      t.boolean,
      t.array(t.tuple([t.string, t.number, t.number])),
    ]),
  ),
});

/** Learned estimates at one point in time. */
export interface Estimates {
  /** Time of writing, Unix milliseconds. */
  readonly atMs: number;
  readonly runTimes: RunTimesSummary;
  readonly speeds: readonly SpeedsSummary[];
}

/** Store key of the learned estimates of a cell. */
export function estimatesKey(cell: string): string {
  return `${cell}/learned`;
}

/** Encodes learned estimates as JSON. */
export function encodeEstimates({ atMs, runTimes, speeds }: Estimates): string {
  const { means, errors, classes } = runTimes;
  const record: typeof Record._A = {
    format: FORMAT_VERSION,
    atMs,
    means: means.map(([queue, ms]) => [queue, Math.round(ms)]),
    errors: errors.map(([team, error]) => [team, toLogSteps(error)]),
    classes: classes.map(([key, { runs, typicalMs, quantilesMs }]) => [
      key,
      runs,
      typicalMs,
      [...quantilesMs],
    ]),
    services: speeds.map(({ service, noise, uneven, workers }) => [
      service,
      toLogSteps(noise),
      uneven,
      workers.map(([id, level, runs]) => [
        id,
        toLogSteps(level),
        Math.round(runs),
      ]),
    ]),
  };
  return JSON.stringify(record);
}

/**
 * Decodes learned estimates; `undefined` if the text is damaged or has another
 * format version.
 */
export function decodeEstimates(text: string): Estimates | undefined {
  const record = decode(text);
  if (record === undefined) return undefined;
  const { atMs, means, errors, classes, services } = record;
  return {
    atMs,
    runTimes: {
      means,
      errors: errors.map(([team, steps]) => [team, steps / STEPS_PER_LOG_UNIT]),
      classes: classes.map(([key, runs, typicalMs, quantilesMs]) => [
        key,
        { runs, typicalMs, quantilesMs },
      ]),
    },
    speeds: services.map(([service, noise, uneven, workers]) => ({
      service,
      noise: noise / STEPS_PER_LOG_UNIT,
      uneven,
      workers: workers.map((
        [id, level, runs],
      ) => [id, level / STEPS_PER_LOG_UNIT, runs]),
    })),
  };
}

function toLogSteps(log: number): number {
  return Math.round(log * STEPS_PER_LOG_UNIT);
}

function decode(text: string): typeof Record._A | undefined {
  try {
    const result = Record.decode(JSON.parse(text));
    return either.isRight(result) ? result.right : undefined;
  } catch {
    // Not JSON: the estimates are lost, and learning starts anew.
    return undefined;
  }
}
