/**
 * Cancellations of jobs that have not arrived.
 *
 * A submission may arrive long after its client has canceled it: it waits in an
 * instance that is suspended, on a connection that has stalled, or for the next
 * leader. So a cancellation of an unknown id is recorded in the store like the
 * end of a job, and kept as long. A submission with that id is then refused.
 *
 * @module
 */
import type { CellContext } from "./context.ts";

/** Records the cancellations of one leader's term. */
export class EarlyCancellations {
  readonly #context: CellContext;
  readonly #inProgress = new Map<string, Promise<"absent" | "unknown">>();

  constructor(context: CellContext) {
    this.#context = context;
  }

  /**
   * Records that an unknown id was canceled; resolves to `absent` once the store
   * has it, to `unknown` if the term ended before.
   */
  record(id: string): Promise<"absent" | "unknown"> {
    const inProgress = this.#inProgress.get(id);
    if (inProgress !== undefined) return inProgress;
    const recorded = this.#write(id);
    this.#inProgress.set(id, recorded);
    void recorded.then(() => this.#inProgress.delete(id));
    return recorded;
  }

  async #write(id: string): Promise<"absent" | "unknown"> {
    const { ended, jobLog, clock, log, metrics, fence } = this.#context;
    const end = {
      id,
      queue: "",
      state: "canceled",
      endedMs: clock.now().getTime(),
      neverArrived: true,
    } as const;
    // Takes effect at once: the submission may arrive during the write.
    ended.set(id, end);
    const outcome = await jobLog.saveEnd(end);
    metrics.count("early_cancellations", { outcome });
    log.info("job.canceledEarly", { job: id, fence, outcome });
    return outcome === "saved" ? "absent" : "unknown";
  }
}
