/**
 * Publishes operator sets and edits of the active set. A publication is a
 * numbered version of the set in the store; the latest one is active.
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
import { openStore, type ToolContext } from "./tool.ts";

/** Times that an edit is applied again because another operator has published. */
const MAX_REBASES = 5;

/**
 * Edits the text of the active set or fails. `number` is that of the active
 * publication, 0 if nothing is published.
 */
export type Edit = (
  text: string,
  options: { readonly number: number },
) => Result<string, ToolFailure>;

/** The store to publish to, and the settings that name it. */
export interface PublishTarget {
  readonly tool: ToolContext;
  readonly store: Store;
  readonly settings: ToolSettings;
}

/** Parses and checks a set. `file` names the text in problems. */
export function parseSet(
  text: string,
  file: string,
): Result<OperatorSet, ToolFailure> {
  return parseOperatorSet(text, { file }).orElse((problems) =>
    err(problemsFailure(problems))
  );
}

/** Publishes a text that was edited from the publication `base`; 0 for none. */
export function publishText(
  target: PublishTarget,
  options: { readonly text: string; readonly base: number },
): ResultAsync<Publication, ToolFailure> {
  const { tool, store, settings } = target;
  const operator = settings.operator.name;
  if (operator === "") {
    const message =
      `no operator name: set name in [operator] of ${tool.settingsFile}`;
    return errAsync(usageFailure(message));
  }
  const { clock } = tool.host;
  const publishId = randomUUID();
  return publish(store, { ...options, operator, publishId, clock });
}

/**
 * Edits the active set and publishes the result. If another operator publishes
 * in between, the edit is applied again to the new active set.
 */
export function republish(
  tool: ToolContext,
  edit: Edit,
): ResultAsync<Publication, ToolFailure> {
  return openStore(tool).andThen(({ store, settings }) =>
    editAndPublish({ tool, store, settings }, edit, { rebases: MAX_REBASES })
  );
}

function editAndPublish(
  target: PublishTarget,
  edit: Edit,
  options: { readonly rebases: number },
): ResultAsync<Publication, ToolFailure> {
  const attempt = safeTry<Publication, ToolFailure>(async function* () {
    const active = yield* readPublication(target.store);
    const number = active?.number ?? 0;
    const text = yield* edit(active?.text ?? "", { number });
    yield* parseSet(text, "edited set");
    return ok(yield* publishText(target, { text, base: number }));
  });
  return attempt.orElse((failure) => {
    const rebases = options.rebases - 1;
    if (failure.type !== "publishConflict" || rebases < 0) {
      return errAsync(failure);
    }
    target.tool.host.err(`${failure.message}; applying the edit again`);
    return editAndPublish(target, edit, { rebases });
  });
}
