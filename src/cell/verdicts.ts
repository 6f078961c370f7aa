/**
 * What the advice service has answered about the workers of one step.
 *
 * @module
 */
import type { FleetWorker } from "./fleet.ts";

/** One process of a worker. The next one may be of another kind. */
export type WorkerProcess = Pick<FleetWorker, "id" | "processStartMs">;

/** A verdict on one process of a worker. */
interface Verdict {
  readonly good: boolean;
  readonly processStartMs: number | undefined;
}

/**
 * Verdicts on workers. A verdict never changes, but holds only for the process
 * that the request was about.
 */
export class Verdicts {
  readonly #byWorker = new Map<string, Verdict>();

  /** Number of workers with a verdict, of whatever process. */
  get size(): number {
    return this.#byWorker.size;
  }

  /** Records whether a process of a worker may run the step. */
  record({ id, processStartMs }: WorkerProcess, good: boolean): void {
    this.#byWorker.set(id, { good, processStartMs });
  }

  /**
   * Whether a worker may run the step; `undefined` if its process has no
   * verdict.
   */
  on({ id, processStartMs }: WorkerProcess): boolean | undefined {
    const verdict = this.#byWorker.get(id);
    return verdict?.processStartMs === processStartMs
      ? verdict?.good
      : undefined;
  }
}
