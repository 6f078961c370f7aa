/**
 * Sends polls to workers and repeats those whose response was lost.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { CellContext } from "./context.ts";
import type { FleetWorker } from "./fleet.ts";
import type { PollFailure, WorkerReport } from "./ports.ts";
import type { Runs } from "./runs.ts";

/** Result of a poll. */
export interface PollResult {
  /** When the poll was sent, monotonic milliseconds. */
  readonly sentMs: number;
  readonly outcome: Result<WorkerReport, PollFailure>;
}

/** Sends the polls of one leader. */
export class WorkerPollRequests {
  readonly #context: CellContext;
  readonly #runs: Runs;

  constructor(context: CellContext, runs: Runs) {
    this.#context = context;
    this.#runs = runs;
  }

  /**
   * Polls a worker. `waitMs`: how long the worker may wait for a completion
   * before it reports. Returns `undefined` if the worker has no address or this
   * instance is not leading. If the response to a waiting poll is lost, the
   * poll is repeated once without waiting.
   */
  async poll(
    worker: FleetWorker,
    { waitMs }: { readonly waitMs: number },
  ): Promise<PollResult | undefined> {
    const { clock, metrics, lostAnswers } = this.#context;
    const firstResult = await this.#pollOnce(worker, {
      waitMs,
      wasReachable: worker.reachable,
    });
    const isLost = firstResult?.outcome.isErr() === true &&
      firstResult.outcome.error.type === "lost";
    if (!isLost || waitMs === 0 || !worker.reachable) return firstResult;
    metrics.count("look_failures", { type: "repeated" });
    const secondResult = await this.#pollOnce(worker, {
      waitMs: 0,
      wasReachable: false,
    });
    if (secondResult?.outcome.isOk()) lostAnswers.recordLoss(clock.monotonic());
    return secondResult;
  }

  async #pollOnce(
    worker: FleetWorker,
    { waitMs, wasReachable }: {
      readonly waitMs: number;
      /** Whether the worker answered the previous poll. */
      readonly wasReachable: boolean;
    },
  ): Promise<PollResult | undefined> {
    const { clock, workerClient, fence, isLeading } = this.#context;
    const address = worker.entry?.address;
    if (address === undefined || !isLeading()) return undefined;
    const sentMs = clock.monotonic();
    const request = {
      fence,
      // A worker that did not answer may have restarted, and now use the same
      // numbers for other completions.
      acknowledged: wasReachable ? worker.acknowledged : 0,
      // A worker whose polls fail gets no renewal: each poll might
      // extend its lease, so that its runs would never be declared lost.
      leaseUntilMs: wasReachable ? this.#runs.grantLease(worker) : undefined,
      waitMs,
    };
    const outcome = await workerClient.poll(
      { id: worker.id, address },
      request,
    );
    return { sentMs, outcome };
  }
}
