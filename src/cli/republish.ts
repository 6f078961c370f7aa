/**
 * Publishes edits of the operators' set.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import {
  err,
  errAsync,
  ok,
  type Result,
  type ResultAsync,
  safeTry,
} from "neverthrow";
import type { ToolSettings } from "../config.ts";
import { publish, readPublication } from "../configuration/publication.ts";
import type { OperatorSet, Publication } from "../operator_set.ts";
import { parseOperatorSet } from "../operator_set/parse.ts";
import type { Store } from "../ports/store.ts";
import { problemsFailure, type ToolFailure, usageFailure } from "./failures.ts";
import { storeOf, type Tool } from "./tool.ts";

/** Times that an edit is made anew after someone else published. */
const REBASES = 5;

/** Changes the text of the set in force, or says why it cannot. */
export type Edit = (
  text: string,
  options: { readonly number: number },
) => Result<string, ToolFailure>;

/** Where publications go. */
export interface Target {
  readonly tool: Tool;
  readonly store: Store;
  readonly settings: ToolSettings;
}

/** Checks a set. */
export function check(
  text: string,
  file: string,
): Result<OperatorSet, ToolFailure> {
  return parseOperatorSet(text, { file }).orElse((problems) =>
    err(problemsFailure(problems))
  );
}

/** Publishes a text that was made from the publication `base`. */
export function publishText(
  target: Target,
  options: { readonly text: string; readonly base: number },
): ResultAsync<Publication, ToolFailure> {
  const { tool, store, settings } = target;
  const operator = settings.operator.name;
  if (operator === "") {
    const message = `set name in [operator] of ${tool.settingsFile}`;
    return errAsync(usageFailure(message));
  }
  const { clock } = tool.host;
  const publishId = randomUUID();
  return publish(store, { ...options, operator, publishId, clock });
}

/** Edits the set in force and publishes it; the edit is made anew if someone else publishes in between. */
export function republish(
  tool: Tool,
  edit: Edit,
): ResultAsync<Publication, ToolFailure> {
  return storeOf(tool).andThen(({ store, settings }) =>
    editAndPublish({ tool, store, settings }, edit, { rebases: REBASES })
  );
}

function editAndPublish(
  target: Target,
  edit: Edit,
  options: { readonly rebases: number },
): ResultAsync<Publication, ToolFailure> {
  const attempt = safeTry<Publication, ToolFailure>(async function* () {
    const before = yield* readPublication(target.store);
    const number = before?.number ?? 0;
    const text = yield* edit(before?.text ?? "", { number });
    yield* check(text, "edited set");
    return ok(yield* publishText(target, { text, base: number }));
  });
  return attempt.orElse((failure) => {
    const rebases = options.rebases - 1;
    if (failure.type !== "publishConflict" || rebases < 0) {
      return errAsync(failure);
    }
    target.tool.host.err(`${failure.message}; editing it again`);
    return editAndPublish(target, edit, { rebases });
  });
}
