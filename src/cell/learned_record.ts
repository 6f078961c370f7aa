/**
 * What a holder has learned, as text for the store.
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import type { RunTimesSketch } from "./decisions/run_times.ts";
import type { SpeedsSketch } from "./decisions/worker_speeds.ts";

/** Number of this format. A record with another one is not read. */
const FORMAT = 1;
/** Steps of a logarithm in the text: a percent. */
const STEPS = 100;

const Record = t.type({
  format: t.literal(FORMAT),
  /** Wall-clock time of the writing, Unix milliseconds. */
  atMs: t.number,
  means: t.array(t.tuple([t.string, t.number])),
  errors: t.array(t.tuple([t.string, t.number])),
  /** Key, runs, typical time, quantiles. */
  classes: t.array(t.tuple([t.string, t.number, t.number, t.array(t.number)])),
  /** Name, noise, whether its workers differ, and of each its id, level and runs. */
  services: t.array(
    t.tuple([
      t.string,
      t.number,
      t.boolean,
      t.array(t.tuple([t.string, t.number, t.number])),
    ]),
  ),
});

/** What was learned until a time. */
export interface Learned {
  /** Wall-clock time, Unix milliseconds. */
  readonly atMs: number;
  readonly runTimes: RunTimesSketch;
  readonly speeds: readonly SpeedsSketch[];
}

/** Key of what the holders of a cell have learned. */
export function learnedKey(cell: string): string {
  return `${cell}/learned`;
}

/** Encodes what was learned. */
export function encodeLearned({ atMs, runTimes, speeds }: Learned): string {
  const { means, errors, classes } = runTimes;
  const record: typeof Record._A = {
    format: FORMAT,
    atMs,
    means: means.map(([queue, ms]) => [queue, Math.round(ms)]),
    errors: errors.map(([team, error]) => [team, stepsOf(error)]),
    classes: classes.map(([key, { runs, typicalMs, quantilesMs }]) => [
      key,
      runs,
      typicalMs,
      [...quantilesMs],
    ]),
    services: speeds.map(({ service, noise, uneven, workers }) => [
      service,
      stepsOf(noise),
      uneven,
      workers.map(([id, level, runs]) => [
        id,
        stepsOf(level),
        Math.round(runs),
      ]),
    ]),
  };
  return JSON.stringify(record);
}

/** Decodes what was learned; `undefined` if the text is damaged or of another format. */
export function decodeLearned(text: string): Learned | undefined {
  const record = decode(text);
  if (record === undefined) return undefined;
  const { atMs, means, errors, classes, services } = record;
  return {
    atMs,
    runTimes: {
      means,
      errors: errors.map(([team, steps]) => [team, steps / STEPS]),
      classes: classes.map(([key, runs, typicalMs, quantilesMs]) => [
        key,
        { runs, typicalMs, quantilesMs },
      ]),
    },
    speeds: services.map(([service, noise, uneven, workers]) => ({
      service,
      noise: noise / STEPS,
      uneven,
      workers: workers.map(([id, level, runs]) => [id, level / STEPS, runs]),
    })),
  };
}

function stepsOf(log: number): number {
  return Math.round(log * STEPS);
}

function decode(text: string): typeof Record._A | undefined {
  try {
    const result = Record.decode(JSON.parse(text));
    return either.isRight(result) ? result.right : undefined;
  } catch {
    // Not JSON: what was learned is lost, and learning starts anew.
    return undefined;
  }
}
