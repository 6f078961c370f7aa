/**
 * Follows the ownership of journal segments: opens those that become this
 * instance's, lets go of the others, and brings endings of tasks to holders.
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
import type { Deferred } from "./deferred.ts";
import type { Ownership } from "./ownership.ts";
import { SEGMENT_UNIT } from "./work_desk.ts";

/** Time between attempts to open a segment, milliseconds. */
const OPEN_RETRY_MS = 500;
/** Longest wait for a holder, milliseconds. */
const PEER_WAIT_MS = 3_000;

/** What the controller needs. */
export interface SegmentsOptions {
  readonly self: string;
  readonly ownership: Pick<Ownership, "retire">;
  readonly authority: Authority;
  readonly deferred: Deferred;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

interface EndedAttempt {
  readonly task: string;
  readonly attempt: string;
  readonly end: AttemptCompletion;
  readonly worker: string;
}

/** The segments that this instance holds or is about to hold. */
export class Segments {
  readonly #options: SegmentsOptions;
  /** Fencing numbers by segment. */
  readonly #wanted = new Map<string, number>();
  readonly #open = new Set<string>();

  constructor(options: SegmentsOptions) {
    this.#options = options;
    const { authority, peers } = options;
    authority.onChange(() => this.#follow());
    peers.serve(attemptCompletedCall, async (ended) => ({
      taken: await this.#take(ended),
    }));
  }

  /** Whether a segment is open for new work. */
  get ready(): boolean {
    return this.#open.size > 0;
  }

  /** Brings the ending of an attempt to the holder of its task; gives whether it was kept. */
  async tell(ended: EndedAttempt): Promise<boolean> {
    const { authority, peers, self } = this.#options;
    const segment = segmentOf(ended.task);
    const holder = authority.ownerOf(SEGMENT_UNIT + segment)?.id;
    if (holder === undefined) return false;
    if (holder === self) return await this.#take(ended);
    const params = ended;
    const answer = await peers.call(holder, attemptCompletedCall, {
      params,
      timeoutMs: PEER_WAIT_MS,
    });
    return answer.match(({ taken }) => taken, () => false);
  }

  /** A later owner has been seen in the journal. */
  lost(segment: string): void {
    this.#options.log.warn("segment.lost", { segment });
    this.#wanted.delete(segment);
    this.#open.delete(segment);
  }

  /** A segment is empty and no longer needed. */
  retired(segment: string): void {
    this.#options.log.info("segment.retired", { segment });
    this.#wanted.delete(segment);
    this.#open.delete(segment);
    this.#options.ownership.retire([SEGMENT_UNIT + segment]);
  }

  #follow(): void {
    const { authority, deferred } = this.#options;
    const owned = authority.owned(SEGMENT_UNIT)
      .map((unit) => unit.slice(SEGMENT_UNIT.length));
    for (const segment of owned) {
      const fence = authority.fenceOf(SEGMENT_UNIT + segment);
      if (fence !== undefined) this.#want(segment, fence);
    }
    for (const segment of this.#wanted.keys()) {
      if (owned.includes(segment)) continue;
      this.#wanted.delete(segment);
      if (this.#open.delete(segment)) void deferred.release(segment);
    }
  }

  #want(segment: string, fence: number): void {
    if (this.#wanted.get(segment) === fence) return;
    this.#wanted.set(segment, fence);
    void this.#adopt(segment, fence);
  }

  async #adopt(segment: string, fence: number): Promise<void> {
    const { clock, deferred, log } = this.#options;
    if (this.#wanted.get(segment) !== fence) return;
    const adopted = await deferred.adopt(segment, fence);
    if (adopted.isOk()) {
      this.#open.add(segment);
      log.info("segment.opened", { segment, fence });
      return;
    }
    const { type, message } = adopted.error;
    log.warn("segment.not_opened", { segment, type, message });
    clock.after(OPEN_RETRY_MS, () => void this.#adopt(segment, fence));
  }

  async #take({ task, attempt, end }: EndedAttempt): Promise<boolean> {
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
