/**
 * Failures of the tool and the exit code of each.
 *
 * @module
 */
import type { PublishFailure } from "../configuration/failures.ts";
import { describeProblem, type Problem } from "../ini/problem.ts";
import type { Reason } from "../types.ts";

/** Why a command did not succeed. With `--json` a failure is printed as it is. */
export type ToolFailure =
  | PublishFailure
  /** Invalid arguments or options, or a missing setting. */
  | { readonly type: "usage"; readonly message: string }
  /** A file could not be read or written. */
  | { readonly type: "fileFailed"; readonly message: string }
  /** The settings file or the operator set is invalid. */
  | {
    readonly type: "problems";
    readonly message: string;
    readonly problems: readonly Problem[];
  }
  /** The object is missing from the operator set or already in it, or the publication does not exist. */
  | { readonly type: "objectState"; readonly message: string }
  /** No instance could be reached; the request was not sent. */
  | { readonly type: "instanceUnreachable"; readonly message: string }
  /** The request was sent but no complete response was received; it may have taken effect. */
  | { readonly type: "instanceSilent"; readonly message: string }
  /** An instance rejected the request. */
  | {
    readonly type: "refused";
    readonly message: string;
    readonly status: number;
    readonly outcome?: "notRun" | "unknown";
    readonly reason?: Reason;
    readonly retryAfterMs?: number;
  }
  /** Submitted work ended without success. */
  | {
    readonly type: "workFailed";
    readonly message: string;
    readonly status: string;
  };

/** Exit codes of the tool. */
export const exitCodes = {
  /** Done. */
  ok: 0,
  /** Rejected or failed; the outcome is known. */
  rejected: 1,
  /** Invalid usage, or a file cannot be read or written. */
  usage: 2,
  /** The store or the instances cannot be reached; nothing was changed. */
  unreachable: 3,
  /** Another operator has published in the meantime. */
  conflict: 4,
  /** There are problems in the set or the settings. */
  problems: 5,
  /** The response was lost; the command may have taken effect. */
  unknown: 6,
} as const;

/** An exit code of the tool. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** The exit code of a failure. */
export function exitCodeOf(failure: ToolFailure): ExitCode {
  switch (failure.type) {
    case "usage":
    case "fileFailed":
      return exitCodes.usage;
    case "storeUnreachable":
    case "storeBusy":
    case "instanceUnreachable":
      return exitCodes.unreachable;
    case "publishConflict":
      return exitCodes.conflict;
    case "problems":
      return exitCodes.problems;
    case "storeAnswerLost":
    case "publishUnsettled":
    case "instanceSilent":
      return exitCodes.unknown;
    case "refused":
      return failure.outcome === "unknown"
        ? exitCodes.unknown
        : exitCodes.rejected;
    case "objectState":
    case "workFailed":
    case "storeValueTooLarge":
    case "storeProtocol":
    case "headMalformed":
    case "textMissing":
    case "textMismatch":
    case "textTooLarge":
      return exitCodes.rejected;
  }
}

/** Formats a failure as text. */
export function describeFailure(failure: ToolFailure): string {
  switch (failure.type) {
    case "problems":
      return [...failure.problems.map(describeProblem), failure.message]
        .join("\n");
    case "publishConflict":
      return `${failure.message}, published by ${failure.operator} at ${failure.at}`;
    case "publishUnsettled":
      return `${failure.message}; its publish id is ${failure.publishId}`;
    default:
      return failure.message;
  }
}

/** Creates the failure of a file with problems. */
export function problemsFailure(problems: readonly Problem[]): ToolFailure {
  const count = problems.length;
  const message = count === 1 ? "1 problem" : `${count} problems`;
  return { type: "problems", message, problems };
}

/** Creates the failure of invalid usage. */
export function usageFailure(message: string): ToolFailure {
  return { type: "usage", message };
}
