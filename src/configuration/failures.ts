/**
 * Failures of reading and publishing the operators' set.
 *
 * @module
 */
import type { StoreFailure } from "../errors.ts";

/** A stored publication that must not be applied. */
export type PublicationFailure =
  /** The head is no head of a publication. */
  | { readonly type: "headMalformed"; readonly message: string }
  /** A chunk of the text is not there. */
  | { readonly type: "textMissing"; readonly message: string }
  /** The text is not the one that the head names. */
  | { readonly type: "textMismatch"; readonly message: string };

/** Why a publication could not be read. */
export type ReadFailure = StoreFailure | PublicationFailure;

/** Why a set was not published. */
export type PublishFailure =
  | ReadFailure
  /** Someone published since the operator read the set. */
  | {
    readonly type: "publishConflict";
    readonly message: string;
    /** Number that the operator edited. */
    readonly base: number;
    /** Number in force. */
    readonly number: number;
    readonly operator: string;
    /** ISO 8601. */
    readonly at: string;
  }
  /** It may or may not be in force; reading back did not settle it. */
  | {
    readonly type: "publishUnsettled";
    readonly message: string;
    readonly publishId: string;
  }
  /** The text does not fit into the chunks that the store may hold. */
  | {
    readonly type: "textTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  };
