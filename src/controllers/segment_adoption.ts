/**
 * Opens the journal segments that the ownership map assigns to this instance,
 * releases those assigned to others, and forwards completions of attempts to
 * the owner of their segment.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import type { Log } from "../logger.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  attemptCompletedCall,
  type AttemptCompletion,
} from "../wire/dispatch.ts";
import type { DeferredWork } from "./deferred_work.ts";
import type { Ownership } from "./ownership.ts";
import { SEGMENT_UNIT_PREFIX } from "./work_service.ts";

/** Delay before a failed opening of a segment is retried. */
const OPEN_RETRY_DELAY_MS = 500;
/** Timeout for a call to the origin of an attempt. */
const PEER_TIMEOUT_MS = 3_000;

/** Options of the controller. */
export interface SegmentAdoptionOptions {
  readonly self: string;
  readonly ownership: Pick<Ownership, "retire">;
  readonly authority: Authority;
  readonly deferred: DeferredWork;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

interface CompletedTask {
  readonly task: string;
  readonly attempt: string;
  readonly end: AttemptCompletion;
  readonly worker: string;
}

/** Opens and releases segments as their ownership changes. */
export class SegmentAdoption {
  readonly #options: SegmentAdoptionOptions;
  /** Fencing tokens of the segments that are open or being opened. */
  readonly #fences = new Map<string, number>();
  readonly #openSegments = new Set<string>();

  constructor(options: SegmentAdoptionOptions) {
    this.#options = options;
    const { authority, peers } = options;
    authority.onChange(() => this.#applyOwnership());
    peers.serve(attemptCompletedCall, async (ended) => ({
      taken: await this.#recordCompletion(ended),
    }));
  }

  /** Whether at least one segment is open for new work. */
  get isReady(): boolean {
    return this.#openSegments.size > 0;
  }

  /**
   * Reports the completion of an attempt to the origin of its task; resolves
   * with whether the origin has journalled it.
   */
  async reportCompletion(completed: CompletedTask): Promise<boolean> {
    const { authority, peers, self } = this.#options;
    const segment = segmentOf(completed.task);
    const origin = authority.ownerOf(SEGMENT_UNIT_PREFIX + segment)?.id;
    if (origin === undefined) return false;
    if (origin === self) return await this.#recordCompletion(completed);
    const params = completed;
    const answer = await peers.call(origin, attemptCompletedCall, {
      params,
      timeoutMs: PEER_TIMEOUT_MS,
    });
    return answer.match(({ taken }) => taken, () => false);
  }

  /** Handles a segment whose journal shows a newer owner. */
  lost(segment: string): void {
    this.#options.log.warn("segment.lost", { segment });
    this.#fences.delete(segment);
    this.#openSegments.delete(segment);
  }

  /** Handles a segment that was empty and has been deleted from the store. */
  retired(segment: string): void {
    this.#options.log.info("segment.retired", { segment });
    this.#fences.delete(segment);
    this.#openSegments.delete(segment);
    this.#options.ownership.retire([SEGMENT_UNIT_PREFIX + segment]);
  }

  #applyOwnership(): void {
    const { authority, deferred } = this.#options;
    const owned = authority.owned(SEGMENT_UNIT_PREFIX)
      .map((unit) => unit.slice(SEGMENT_UNIT_PREFIX.length));
    for (const segment of owned) {
      const fence = authority.fenceOf(SEGMENT_UNIT_PREFIX + segment);
      if (fence !== undefined) this.#startAdoption(segment, fence);
    }
    for (const segment of this.#fences.keys()) {
      if (owned.includes(segment)) continue;
      this.#fences.delete(segment);
      if (this.#openSegments.delete(segment)) void deferred.release(segment);
    }
  }

  #startAdoption(segment: string, fence: number): void {
    if (this.#fences.get(segment) === fence) return;
    this.#fences.set(segment, fence);
    void this.#adopt(segment, fence);
  }

  async #adopt(segment: string, fence: number): Promise<void> {
    const { clock, deferred, log } = this.#options;
    if (this.#fences.get(segment) !== fence) return;
    const adopted = await deferred.adopt(segment, fence);
    if (adopted.isOk()) {
      this.#openSegments.add(segment);
      log.info("segment.opened", { segment, fence });
      return;
    }
    const { type, message } = adopted.error;
    log.warn("segment.not_opened", { segment, type, message });
    clock.after(OPEN_RETRY_DELAY_MS, () => void this.#adopt(segment, fence));
  }

  async #recordCompletion(
    { task, attempt, end }: CompletedTask,
  ): Promise<boolean> {
    const [work = "", index = "0"] = splitTask(task);
    const written = await this.#options.deferred.ended(
      { work, task: Number(index), attempt },
      outcomeOf(end),
    );
    return written.isOk();
  }
}

function outcomeOf(end: AttemptCompletion): AttemptOutcome {
  switch (end.type) {
    case "succeeded":
    case "failed":
      return end;
    case "stopped": {
      const { checkpoint } = end;
      return checkpoint === undefined
        ? { type: "stopped" }
        : { type: "stopped", checkpoint };
    }
    case "lost":
      return { type: "lost" };
  }
}

function splitTask(task: string): [string, string] {
  const slash = task.lastIndexOf("/");
  return [task.slice(0, slash), task.slice(slash + 1)];
}

function segmentOf(task: string): string {
  return parseWorkId(splitTask(task)[0])?.segment ?? "";
}
