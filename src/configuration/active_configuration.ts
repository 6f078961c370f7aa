/**
 * The publication that is active at one instance. Its number only increases,
 * and its age is the time since the store last confirmed it.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { OperatorSet, Publication } from "../operator_set.ts";
import { parseOperatorSet } from "../operator_set/parse.ts";
import { createHead, type Head } from "./head.ts";

/** A publication and the operator set parsed from it. */
export interface Configuration {
  readonly publication: Publication;
  readonly set: OperatorSet;
}

/** The active configuration of an instance. */
export class ActiveConfiguration {
  readonly #clock: Clock;
  readonly #log: Log;
  #active: Configuration | undefined;
  #head: Head | undefined;
  #confirmedAtMs: number | undefined;
  /** `publishId` of the last publication whose text could not be parsed. */
  #rejectedPublishId: string | undefined;

  constructor(options: { readonly clock: Clock; readonly log: Log }) {
    this.#clock = options.clock;
    this.#log = options.log;
  }

  /** The active configuration; `undefined` before the first publication. */
  current(): Configuration | undefined {
    return this.#active;
  }

  /** Head of the active publication. */
  head(): Head | undefined {
    return this.#head;
  }

  /** Number of the active publication; 0 if there is none. */
  number(): number {
    return this.#head?.number ?? 0;
  }

  /** Milliseconds since the store last confirmed the active publication; `Infinity` if it never has. */
  ageMs(): number {
    if (this.#confirmedAtMs === undefined) return Infinity;
    return this.#clock.monotonic() - this.#confirmedAtMs;
  }

  /** Whether the publication of a head is newer than the active one and not known to be invalid. */
  shouldFetch(head: Head): boolean {
    return head.number > this.number() &&
      head.publishId !== this.#rejectedPublishId;
  }

  /** Activates a publication if it is newer than the active one and its text is valid; `false` if not. */
  apply(publication: Publication): boolean {
    const { number, operator, publishId } = publication;
    if (number <= this.number()) return false;
    const parsed = parseOperatorSet(publication.text, { file: "published" });
    if (parsed.isErr()) {
      this.#rejectedPublishId = publishId;
      const problems = parsed.error.length;
      this.#log.error("configuration.refused", { number, problems });
      return false;
    }
    this.#head = createHead(publication);
    this.#active = { publication, set: parsed.value };
    this.#log.info("configuration.applied", { number, operator });
    return true;
  }

  /**
   * Records that the store had `head` at `knownAtMs` (monotonic). If it is the head of the active publication, all that
   * was published before that time is active at this instance; if it is an older or a different one, it is ignored.
   */
  confirm(head: Head, knownAtMs: number): void {
    const activeHead = this.#head;
    if (activeHead === undefined || head.number > activeHead.number) return;
    if (head.number < activeHead.number || head.sha256 !== activeHead.sha256) {
      const { number } = head;
      const fields = { number, applied: activeHead.number };
      this.#log.warn("configuration.other_head_ignored", fields);
      return;
    }
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, knownAtMs);
  }
}
