/**
 * HTTP routes for deferred work.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import { err, ok, type Result } from "neverthrow";
import type { DeferredWork } from "../controllers/deferred_work.ts";
import { outcomeOfSubmitFailure } from "../controllers/deferred_failures.ts";
import type { WorkService } from "../controllers/work_service.ts";
import { assertNever } from "../errors.ts";
import { type Admission, rejectionReason } from "../filters/admit.ts";
import { KEY_HEADER } from "../filters/at_most_once.ts";
import { resolveAccess, teamOf } from "../filters/authenticate.ts";
import type { Log } from "../logger.ts";
import type { OperatorSet } from "../operator_set.ts";
import type { Outcome, Reason, Resources } from "../types.ts";
import type { CancelResponse } from "../wire/work.ts";
import { sendFailure, sendJson } from "./answers.ts";
import type { BodyMemory } from "./bodies.ts";
import { presentedKey, sendBodyFailure } from "./caller_routes.ts";
import type { Route, RouteCall } from "./routes.ts";

/** Suggested retry delay while this instance admits nothing or no instance owns a work's segment. */
const TAKEOVER_RETRY_DELAY_MS = 2_000;

const SubmissionCodec = t.intersection([
  t.type({ workload: t.string, payload: t.string }),
  t.partial({ count: t.number }),
]);

type SubmissionBody = t.TypeOf<typeof SubmissionCodec>;

/** Dependencies of the routes. */
export interface WorkRoutesOptions {
  readonly admission: Admission;
  /** The active operator set. */
  readonly current: () => OperatorSet;
  /** Whether any worker of the fleet, when empty, has the capacity for `need`. */
  readonly couldEverFit: (need: Resources) => boolean;
  readonly deferred: DeferredWork;
  readonly desk: WorkService;
  readonly bodies: BodyMemory;
  readonly log: Log;
}

/** Creates the routes on which callers submit, list, show and cancel work. */
export function workRoutes(options: WorkRoutesOptions): readonly Route[] {
  return [
    {
      method: "POST",
      pattern: "/v1/work",
      answer: (call) => submit(options, call),
    },
    {
      method: "GET",
      pattern: "/v1/work",
      answer: (call) =>
        withTeam(options, call, async (team) => {
          const works = await options.desk.list(team);
          sendJson(call.response, 200, { works });
        }),
    },
    {
      method: "POST",
      pattern: "/v1/work/cancel",
      answer: (call) =>
        withTeam(options, call, async (team) => {
          const workload = call.url.searchParams.get("workload") ?? "";
          const answer = await options.desk.cancelWorkload({ team, workload });
          sendCancel(call, answer);
        }),
    },
    {
      method: "GET",
      pattern: "/v1/work/:id",
      answer: (call) =>
        withTeam(options, call, (team) => show(options, { call, team })),
    },
    {
      method: "POST",
      pattern: "/v1/work/:id/cancel",
      answer: (call) =>
        withTeam(options, call, async (team) => {
          const id = call.parts.id ?? "";
          sendCancel(call, await options.desk.cancel({ id, team }));
        }),
    },
  ];
}

async function submit(
  options: WorkRoutesOptions,
  call: RouteCall,
): Promise<void> {
  const { bodies, deferred, log } = options;
  const body = await bodies.read(call.message);
  if (body.isErr()) return sendBodyFailure(call.response, body.error);
  body.value.free();
  const accepted = acceptSubmission(options, {
    call,
    text: body.value.bytes.toString(),
  });
  if (accepted.isErr()) {
    return sendFailure(call.response, accepted.error);
  }
  const { submission, queue } = accepted.value;
  const result = await deferred.submit(submission);
  log.info("work.submitted", {
    workload: submission.workload,
    team: submission.team,
    id: result.isOk() ? result.value.id : undefined,
    failure: result.isErr() ? result.error.type : undefined,
  });
  if (result.isOk()) return sendJson(call.response, 202, result.value);
  const outcome = outcomeOfSubmitFailure(result.error, {
    workload: submission.workload,
    queue,
  });
  if (outcome.type !== "done") sendFailure(call.response, outcome);
}

interface AcceptedSubmission {
  readonly submission: SubmissionBody & {
    readonly team: string;
    readonly idempotencyKey?: string;
  };
  readonly queue: string;
}

type Rejection = Exclude<Outcome, { type: "done" }>;

function acceptSubmission(
  options: WorkRoutesOptions,
  { call, text }: { readonly call: RouteCall; readonly text: string },
): Result<AcceptedSubmission, Rejection> {
  const reason = rejectionReason(options.admission);
  if (reason !== undefined) return notRun(reason, TAKEOVER_RETRY_DELAY_MS);
  const parsed = parseSubmission(text);
  if (parsed === undefined) {
    const detail =
      'the body is JSON: {"workload", "payload" (base64), "count"}';
    return notRun({ type: "badRequest", detail });
  }
  const key = presentedKey(call.message);
  const access = resolveAccess(options.current(), {
    workload: parsed.workload,
    key,
  });
  if (access.isErr()) return notRun(access.error);
  const { workload, queue, team } = access.value;
  if (!options.couldEverFit(workload.resources)) {
    return notRun({ type: "neverFits", workload: workload.name });
  }
  const header = call.message.headers[KEY_HEADER];
  const idempotencyKey = Array.isArray(header) ? header[0] : header;
  const submission = { ...parsed, team, idempotencyKey };
  return ok({ submission, queue: queue.name });
}

function parseSubmission(text: string): SubmissionBody | undefined {
  try {
    const decoded = SubmissionCodec.decode(JSON.parse(text));
    return either.isRight(decoded) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}

function notRun(
  reason: Reason,
  retryAfterMs?: number,
): Result<AcceptedSubmission, Rejection> {
  return err({ type: "notRun", reason, retryAfterMs });
}

async function withTeam(
  options: WorkRoutesOptions,
  call: RouteCall,
  action: (team: string) => Promise<void>,
): Promise<void> {
  const rejection = rejectionReason(options.admission);
  if (rejection !== undefined) {
    const retryAfterMs = TAKEOVER_RETRY_DELAY_MS;
    const failure = {
      type: "notRun",
      reason: rejection,
      retryAfterMs,
    } as const;
    return sendFailure(call.response, failure);
  }
  const team = teamOf(options.current(), presentedKey(call.message));
  if (team.isErr()) {
    return sendFailure(call.response, { type: "notRun", reason: team.error });
  }
  await action(team.value);
}

async function show(
  options: WorkRoutesOptions,
  { call, team }: { readonly call: RouteCall; readonly team: string },
): Promise<void> {
  const answer = await options.desk.show(call.parts.id ?? "");
  switch (answer.type) {
    case "found": {
      const owner = (answer.work as { team?: unknown }).team;
      if (owner !== team) return sendUnknown(call);
      return sendJson(call.response, 200, answer.work);
    }
    case "unknownWork":
      return sendUnknown(call);
    case "notHeld":
      return sendNoOwner(call);
    default:
      return assertNever(answer);
  }
}

function sendCancel(call: RouteCall, answer: CancelResponse): void {
  switch (answer.type) {
    case "cancelled":
      return sendJson(call.response, 200, { cancelled: answer.works });
    case "unknownWork":
      return sendUnknown(call);
    case "notHeld":
      return sendNoOwner(call);
    case "storeAway":
      return sendFailure(call.response, {
        type: "notRun",
        reason: { type: "storeAway" },
        retryAfterMs: TAKEOVER_RETRY_DELAY_MS,
      });
    default:
      return assertNever(answer);
  }
}

function sendUnknown(call: RouteCall): void {
  sendJson(call.response, 404, {
    type: "unknownWork",
    message: "there is no such work of this team",
  });
}

function sendNoOwner(call: RouteCall): void {
  sendFailure(call.response, {
    type: "notRun",
    reason: { type: "noOwner" },
    retryAfterMs: TAKEOVER_RETRY_DELAY_MS,
  });
}
