/**
 * The publication in force at one instance: numbers only grow, and its age
 * says when the store was last known to hold it.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { OperatorSet, Publication } from "../operator_set.ts";
import { parseOperatorSet } from "../operator_set/parse.ts";
import { type Head, headOf } from "./head.ts";

/** What is in force at an instance. */
export interface Configuration {
  readonly publication: Publication;
  readonly set: OperatorSet;
}

/** Holds what is in force. */
export class InForce {
  readonly #clock: Clock;
  readonly #log: Log;
  #current: Configuration | undefined;
  #head: Head | undefined;
  #confirmedAt: number | undefined;
  /** Publish id of a publication that could not be read as a set. */
  #refused: string | undefined;

  constructor(options: { readonly clock: Clock; readonly log: Log }) {
    this.#clock = options.clock;
    this.#log = options.log;
  }

  /** What is in force; `undefined` before the first publication. */
  current(): Configuration | undefined {
    return this.#current;
  }

  /** Head of what is in force. */
  head(): Head | undefined {
    return this.#head;
  }

  /** Number of what is in force; 0 if nothing is. */
  number(): number {
    return this.#head?.number ?? 0;
  }

  /** Milliseconds since the store was last known to hold what is in force. */
  ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#clock.monotonic() - this.#confirmedAt;
  }

  /** Whether the publication of a head should be fetched. */
  wants(head: Head): boolean {
    return head.number > this.number() && head.publishId !== this.#refused;
  }

  /** Puts a publication into force if it is later and sound. */
  apply(publication: Publication): boolean {
    const { number, operator, publishId } = publication;
    if (number <= this.number()) return false;
    const parsed = parseOperatorSet(publication.text, { file: "published" });
    if (parsed.isErr()) {
      this.#refused = publishId;
      const problems = parsed.error.length;
      this.#log.error("configuration.refused", { number, problems });
      return false;
    }
    this.#head = headOf(publication);
    this.#current = { publication, set: parsed.value };
    this.#log.info("configuration.applied", { number, operator });
    return true;
  }

  /** Notes that the store held `head` at `knownAt`: all that was published before is in force here. */
  confirm(head: Head, knownAt: number): void {
    const applied = this.#head;
    if (applied === undefined || head.number > applied.number) return;
    if (head.number < applied.number || head.sha256 !== applied.sha256) {
      const { number } = head;
      const fields = { number, applied: applied.number };
      this.#log.warn("configuration.other_head_ignored", fields);
      return;
    }
    this.#confirmedAt = Math.max(this.#confirmedAt ?? -Infinity, knownAt);
  }
}
