/**
 * Failures of the tool and the exit codes that they give.
 *
 * @module
 */
import type { PublishFailure } from "../configuration/failures.ts";
import { describeProblem, type Problem } from "../ini/problem.ts";
import type { Reason } from "../types.ts";

/** Why a command did not succeed. */
export type ToolFailure =
  | PublishFailure
  /** The command was not given what it needs. */
  | { readonly type: "usage"; readonly message: string }
  /** A file could not be read or written. */
  | { readonly type: "fileFailed"; readonly message: string }
  /** A settings file or a set has problems. */
  | {
    readonly type: "problems";
    readonly message: string;
    readonly problems: readonly Problem[];
  }
  /** The set has no such object, or already has it. */
  | { readonly type: "objectState"; readonly message: string }
  /** No instance could be reached; nothing was done. */
  | { readonly type: "instanceUnreachable"; readonly message: string }
  /** An instance was asked and did not answer; it may have acted. */
  | { readonly type: "instanceSilent"; readonly message: string }
  /** An instance refused. */
  | {
    readonly type: "refused";
    readonly message: string;
    readonly status: number;
    readonly outcome?: "notRun" | "unknown";
    readonly reason?: Reason;
    readonly retryAfterMs?: number;
  }
  /** Work ended otherwise than with success. */
  | {
    readonly type: "workFailed";
    readonly message: string;
    readonly status: string;
  };

/** Exit codes of the tool. */
export const exitCodes = {
  /** Done. */
  ok: 0,
  /** Refused or failed; nothing is in doubt. */
  refused: 1,
  /** Wrong use of the command line, or a file that cannot be read. */
  usage: 2,
  /** The store or the instances cannot be reached; nothing was done. */
  unreachable: 3,
  /** Someone else published in the meantime. */
  conflict: 4,
  /** The set or the settings have problems. */
  problems: 5,
  /** The answer was lost; it may have been done. */
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
        : exitCodes.refused;
    case "objectState":
    case "workFailed":
    case "storeValueTooLarge":
    case "storeProtocol":
    case "headMalformed":
    case "textMissing":
    case "textMismatch":
    case "textTooLarge":
      return exitCodes.refused;
  }
}

/** A failure for a person. */
export function describeFailure(failure: ToolFailure): string {
  switch (failure.type) {
    case "problems":
      return [...failure.problems.map(describeProblem), failure.message]
        .join("\n");
    case "publishConflict":
      return `${failure.message}, published by ${failure.operator} at ${failure.at}`;
    case "publishUnsettled":
      return `${failure.message}; its id is ${failure.publishId}`;
    default:
      return failure.message;
  }
}

/** Makes a failure of problems. */
export function problemsFailure(problems: readonly Problem[]): ToolFailure {
  const count = problems.length;
  const message = count === 1 ? "1 problem" : `${count} problems`;
  return { type: "problems", message, problems };
}

/** Makes a failure of wrong use. */
export function usageFailure(message: string): ToolFailure {
  return { type: "usage", message };
}
