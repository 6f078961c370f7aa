/**
 * Checks an operator set against the workers that an instance lists.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { OperatorSet } from "../operator_set.ts";
import {
  checkAgainstFleet,
  type WorkerCapacity,
} from "../operator_set/fleet_checks.ts";
import { ResourcesCodec } from "../wire/codecs.ts";
import { problemsFailure, type ToolFailure } from "./failures.ts";
import { getAsOperator } from "./instance_requests.ts";
import type { ToolContext } from "./tool.ts";

/** Path at which an instance lists the workers. */
export const WORKERS_PATH = "/v1/workers";

const WorkersResponse = t.type({
  workers: t.array(t.type({ capacity: ResourcesCodec })),
});

/**
 * Fetches the list of workers from an instance and checks that the workloads of
 * the set fit them. Fails with `problems` if they don't.
 */
export function checkFleetCapacity(
  tool: ToolContext,
  set: OperatorSet,
  options: { readonly file: string },
): ResultAsync<void, ToolFailure> {
  return getAsOperator(tool, WORKERS_PATH)
    .andThen(decodeWorkers)
    .andThen((workers): Result<void, ToolFailure> => {
      const problems = checkAgainstFleet(set, workers)
        .map((found) => ({ ...found, file: options.file }));
      return problems.length === 0 ? ok() : err(problemsFailure(problems));
    });
}

function decodeWorkers(
  response: unknown,
): Result<readonly WorkerCapacity[], ToolFailure> {
  const decoded = WorkersResponse.decode(response);
  if (either.isRight(decoded) && decoded.right.workers.length > 0) {
    return ok(decoded.right.workers);
  }
  const message = "the instance returned no or an unreadable list of workers";
  return err({ type: "refused", message, status: 200 });
}
