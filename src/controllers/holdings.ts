/**
 * The journal segments that this instance holds.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { statusOf } from "../journal/work_state.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  type CancelFailure,
  notHeld,
  unknownWork,
} from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import type { DeferredCounts } from "./deferred_types.ts";
import type { HeldSegment } from "./held_segment.ts";
import { Settler } from "./settler.ts";
import type { CheckedSubmission } from "./submission.ts";

/** Least time between looks for works that can be dropped. */
const ROOM_INTERVAL_MS = 1_000;

interface Holding {
  readonly held: HeldSegment;
  readonly settler: Settler;
}

/** A work of a held segment. */
export interface HeldWork {
  readonly held: HeldSegment;
  readonly sequence: number;
}

/** Segments by name. */
export class Holdings {
  readonly #options: DeferredOptions;
  readonly #holdings = new Map<string, Holding>();
  #lookAgainAt = 0;

  constructor(options: DeferredOptions) {
    this.#options = options;
  }

  /** All held segments. */
  all(): HeldSegment[] {
    return [...this.#holdings.values()].map(({ held }) => held);
  }

  /** The segment with the name. */
  get(name: string): HeldSegment | undefined {
    return this.#holdings.get(name)?.held;
  }

  /** Estimated bytes of all works. */
  bytes(): number {
    return sum(this.all().map((held) => held.table.bytes));
  }

  /** Where a work is. */
  find(id: string): Result<HeldWork, CancelFailure> {
    const parsed = parseWorkId(id);
    if (parsed === undefined) return err(unknownWork);
    const held = this.get(parsed.segment);
    if (held === undefined) return err(notHeld(parsed.segment));
    return ok({ held, sequence: parsed.sequence });
  }

  /** The segment for a submission: the one that knows its key, or this instance's own. */
  holderOf(submission: CheckedSubmission): HeldSegment | undefined {
    const { team, key } = submission;
    const helds = this.all();
    const knowing = key === undefined
      ? undefined
      : helds.find((held) => held.table.withKey(team, key) !== undefined);
    return knowing ?? this.get(this.#options.self) ?? helds[0];
  }

  /** Adds a segment and starts its work. */
  hold(held: HeldSegment): void {
    this.get(held.name)?.drop();
    const settler = new Settler(this.#options, held, held.begin());
    this.#holdings.set(held.name, { held, settler });
    settler.start();
  }

  /** Removes a segment, unless another opening of it has replaced it. */
  remove(held: HeldSegment): boolean {
    if (this.get(held.name) !== held) return false;
    return this.#holdings.delete(held.name);
  }

  /** Drops what is past its retention and gives the segments that this has emptied. */
  expire(before: number): HeldSegment[] {
    const helds = this.all();
    for (const held of helds) held.expire(before);
    return helds.filter((held) =>
      held.name !== this.#options.self && held.table.size === 0
    );
  }

  /** Whether there is room for more work; drops what finished long ago if there is not. */
  hasRoom(): boolean {
    const { clock, limits } = this.#options;
    if (this.bytes() <= limits.heldBytes) return true;
    const now = clock.now().getTime();
    if (now < this.#lookAgainAt) return false;
    this.#lookAgainAt = now + ROOM_INTERVAL_MS;
    this.expire(now - limits.shortRetentionMs);
    return this.bytes() <= limits.heldBytes;
  }

  /** Amounts for the status page. */
  counts(): DeferredCounts {
    const holdings = [...this.#holdings.values()];
    const works = this.all().flatMap((held) => [...held.table.works()]);
    const statuses = works.map(statusOf);
    const count = (status: string) =>
      statuses.filter((other) => other === status).length;
    return {
      segments: holdings.length,
      works: works.length,
      waitingWorks: count("waiting"),
      runningWorks: count("running"),
      parkedWorks: count("parked"),
      unsettledAttempts: sum(holdings.map(({ settler }) => settler.count)),
      unwrittenEndings: sum(holdings.map(({ held }) => held.endings)),
      heldBytes: this.bytes(),
    };
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
