/**
 * Failures of reading and publishing operator sets.
 *
 * @module
 */
import type { StoreFailure } from "../errors.ts";

/** Why a stored publication is invalid and must not be applied. */
export type PublicationFailure =
  /** The head cannot be decoded. */
  | { readonly type: "headMalformed"; readonly message: string }
  /** A chunk of the text is missing. */
  | { readonly type: "textMissing"; readonly message: string }
  /** The hash of the text differs from the hash in the head. */
  | { readonly type: "textMismatch"; readonly message: string };

/** Why a publication could not be read. */
export type ReadFailure = StoreFailure | PublicationFailure;

/** Why publishing a set failed. */
export type PublishFailure =
  | ReadFailure
  /** Another set was published after the operator read the one that the edit is based on. */
  | {
    readonly type: "publishConflict";
    readonly message: string;
    /** Number of the publication that the operator edited. */
    readonly base: number;
    /** Number of the active publication. */
    readonly number: number;
    /** Operator who published the active publication. */
    readonly operator: string;
    /** Time of the active publication, ISO 8601. */
    readonly at: string;
  }
  /** Whether the set was published is unknown, also after reading back. */
  | {
    readonly type: "publishUnsettled";
    readonly message: string;
    readonly publishId: string;
  }
  /** The text exceeds the largest number of chunks. */
  | {
    readonly type: "textTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  };
