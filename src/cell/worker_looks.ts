/**
 * Asks workers for their reports.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { CellContext } from "./context.ts";
import type { FleetWorker } from "./fleet.ts";
import type { LookFailure, WorkerReport } from "./ports.ts";
import type { Runs } from "./runs.ts";

/** What a worker said, and when it was asked, monotonic milliseconds. */
export type Asked = Result<
  { readonly report: WorkerReport; readonly sentMs: number },
  LookFailure
>;

/** The questions of one holder to its workers. */
export class WorkerLooks {
  readonly #context: CellContext;
  readonly #runs: Runs;

  constructor(context: CellContext, runs: Runs) {
    this.#context = context;
    this.#runs = runs;
  }

  /**
   * Asks for a report, `undefined` if the worker has no address or no orders may
   * be given. Where the answer to one that waits for an end is lost, the worker
   * is asked once more.
   */
  async ask(
    worker: FleetWorker,
    { waitMs }: { readonly waitMs: number },
  ): Promise<Asked | undefined> {
    const { clock, metrics, lostAnswers } = this.#context;
    const first = await this.#askOnce(worker, {
      waitMs,
      trusted: worker.reachable,
    });
    const isLost = first?.isErr() === true && first.error.type === "lost";
    if (!isLost || waitMs === 0 || !worker.reachable) return first;
    metrics.count("look_failures", { type: "repeated" });
    const second = await this.#askOnce(worker, { waitMs: 0, trusted: false });
    if (second?.isOk()) lostAnswers.note(clock.monotonic());
    return second;
  }

  async #askOnce(
    worker: FleetWorker,
    { waitMs, trusted }: {
      readonly waitMs: number;
      /** Whether it answered the last call. */
      readonly trusted: boolean;
    },
  ): Promise<Asked | undefined> {
    const { clock, orders, fence, holds } = this.#context;
    const address = worker.entry?.address;
    if (address === undefined || !holds()) return undefined;
    const sentMs = clock.monotonic();
    const order = {
      fence,
      // A worker that did not answer may have started anew, with other ends under the same numbers.
      acknowledged: trusted ? worker.acknowledged : 0,
      // Renewals that may or may not arrive would keep its runs from ever being given up.
      leaseUntilMs: trusted ? this.#runs.leaseFor(worker) : undefined,
      waitMs,
    };
    const result = await orders.look({ id: worker.id, address }, order);
    return result.map((report) => ({ report, sentMs }));
  }
}
