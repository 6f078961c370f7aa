/**
 * Checks a set against the fleet that an instance lists.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { OperatorSet } from "../operator_set.ts";
import { type Capacity, checkAgainstFleet } from "../operator_set/fleet.ts";
import { ResourcesCodec } from "../wire/codecs.ts";
import { problemsFailure, type ToolFailure } from "./failures.ts";
import { askAsOperator } from "./instances.ts";
import type { Tool } from "./tool.ts";

/** Path on which an instance lists the workers. */
export const WORKERS_PATH = "/v1/workers";

const WorkersAnswer = t.type({
  workers: t.array(t.type({ capacity: ResourcesCodec })),
});

/** Asks an instance for the workers and checks that the set fits them. */
export function checkFleet(
  tool: Tool,
  set: OperatorSet,
  options: { readonly file: string },
): ResultAsync<void, ToolFailure> {
  return askAsOperator(tool, WORKERS_PATH)
    .andThen(decodeWorkers)
    .andThen((workers): Result<void, ToolFailure> => {
      const problems = checkAgainstFleet(set, workers)
        .map((found) => ({ ...found, file: options.file }));
      return problems.length === 0 ? ok() : err(problemsFailure(problems));
    });
}

function decodeWorkers(
  answer: unknown,
): Result<readonly Capacity[], ToolFailure> {
  const decoded = WorkersAnswer.decode(answer);
  if (either.isRight(decoded) && decoded.right.workers.length > 0) {
    return ok(decoded.right.workers);
  }
  const message = "the instance listed no workers that the tool can read";
  return err({ type: "refused", message, status: 200 });
}
