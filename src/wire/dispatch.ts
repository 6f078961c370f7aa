/**
 * Messages that bring waiting work from its origin instances to the owners of
 * workers with free capacity.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";
import {
  AnswerCodec,
  OptionalNumber,
  ReasonCodec,
  ResourcesCodec,
  UrgencyCodec,
} from "./codecs.ts";

/** A caller's HTTP request that an owner is to execute on one of its workers. */
export const RunRequest = t.type({
  id: t.string,
  team: t.string,
  workload: t.string,
  need: ResourcesCodec,
  idempotent: t.boolean,
  request: t.type({
    method: t.string,
    path: t.string,
    headers: t.record(t.string, t.string),
    body: t.string,
    timeoutMs: t.number,
  }),
  /** Capacity that the owner has offered; `undefined` if the origin instance sends the request without an offer. */
  offer: t.union([t.string, t.undefined]),
  /** Workers on which this request has already failed. */
  avoid: t.array(t.string),
});
/** A caller's HTTP request that an owner is to execute on one of its workers. */
export type RunRequest = t.TypeOf<typeof RunRequest>;

/** Response to a {@linkcode RunRequest}. */
export const RunResponse = t.union([
  t.type({ type: t.literal("done"), answer: AnswerCodec }),
  /** No byte reached a worker, or the worker rejected the request without executing it. */
  t.type({
    type: t.literal("notStarted"),
    reason: ReasonCodec,
    retryAfterMs: OptionalNumber,
    worker: t.union([t.string, t.undefined]),
  }),
  /** The response of the worker was lost: it may have executed the request. */
  t.type({ type: t.literal("lost"), reason: ReasonCodec, worker: t.string }),
]);
/** Response to a {@linkcode RunRequest}. */
export type RunResponse = t.TypeOf<typeof RunResponse>;

/** Executes a request on a worker of the callee. */
export const runCall: RpcMethod<RunRequest, RunResponse> = {
  method: "dispatch.run",
  params: RunRequest,
  result: RunResponse,
};

/**
 * Asks an owner whether it started a run request whose response was lost. An
 * owner that has not started it yet never will.
 */
export const resolveRunCall: RpcMethod<
  { id: string },
  { started: boolean }
> = {
  method: "dispatch.settle",
  params: t.type({ id: t.string }),
  result: t.type({ started: t.boolean }),
};

/** Work of one team, workload and urgency that waits at an instance. */
export const BacklogEntryCodec = t.type({
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
  count: t.number,
  oldestArrivedAgoMs: t.number,
  dueInMs: OptionalNumber,
  need: ResourcesCodec,
});

/** What an instance reports to its peers about its backlog and its workers. */
export const LoadReport = t.type({
  /** Increases with each message of a sender. */
  sequence: t.number,
  /** Free capacity of all workers that the sender owns. */
  free: ResourcesCodec,
  /** Remaining allowance at the sender of each team with a limit; a team that is absent has none left. */
  spare: t.record(t.string, t.number),
  /** Largest free amount of each resource on a single worker. */
  largest: ResourcesCodec,
  capacity: ResourcesCodec,
  backlog: t.array(BacklogEntryCodec),
  /** Resources used on the sender's workers, by team. */
  usage: t.record(t.string, ResourcesCodec),
});
/** What an instance reports to its peers about its backlog and its workers. */
export type LoadReport = t.TypeOf<typeof LoadReport>;

/** Sent soon after a change, and periodically without changes. */
export const loadReportNotice: RpcNotification<LoadReport> = {
  method: "dispatch.news",
  params: LoadReport,
};

/** Counts of attempts and failures on the sender's workers; older ones weigh less. */
const FailureCounts = t.type({
  counts: t.array(t.type({
    workload: t.string,
    attempts: t.number,
    failures: t.number,
  })),
});

/** Reports how often each workload fails, so that peers can rate the health of their workers against it. */
export const failureCountsNotice: RpcNotification<
  t.TypeOf<typeof FailureCounts>
> = {
  method: "dispatch.failures",
  params: FailureCounts,
};

/** Capacity on a worker, reserved for the next work of a team and workload at the receiver. */
export const Offer = t.type({
  offer: t.string,
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
  worker: t.string,
  fence: t.number,
  need: ResourcesCodec,
});
/** Capacity on a worker, reserved for the next work of a team and workload at the receiver. */
export type Offer = t.TypeOf<typeof Offer>;

/** Offers capacity to the origin instance of waiting work. */
export const offerNotice: RpcNotification<Offer> = {
  method: "dispatch.offer",
  params: Offer,
};

/** A declined offer: no work of this team, workload and urgency waits at the sender. */
const DeclinedOffer = t.type({
  offer: t.string,
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
});

/** Declines an offer, which releases its capacity. */
export const declineOfferNotice: RpcNotification<
  t.TypeOf<typeof DeclinedOffer>
> = {
  method: "dispatch.decline",
  params: DeclinedOffer,
};

/** Reserves capacity for up to `count` tasks; the response contains one offer per task that fits. */
export const reserveCall: RpcMethod<
  {
    reservation: string;
    team: string;
    workload: string;
    need: t.TypeOf<typeof ResourcesCodec>;
    count: number;
    avoid: string[];
  },
  { offers: { offer: string; worker: string; fence: number }[] }
> = {
  method: "dispatch.reserve",
  params: t.type({
    reservation: t.string,
    team: t.string,
    workload: t.string,
    need: ResourcesCodec,
    count: t.number,
    avoid: t.array(t.string),
  }),
  result: t.type({
    offers: t.array(
      t.type({ offer: t.string, worker: t.string, fence: t.number }),
    ),
  }),
};

/** Cancels a reservation, also one whose request has not arrived yet. */
export const cancelReservationNotice: RpcNotification<{ reservation: string }> =
  {
    method: "dispatch.cancel",
    params: t.type({ reservation: t.string }),
  };

/** Starts a task in offered capacity. */
export const StartRequest = t.type({
  offer: t.string,
  attempt: t.string,
  task: t.string,
  team: t.string,
  workload: t.string,
  payload: t.string,
});
/** Starts a task in offered capacity. */
export type StartRequest = t.TypeOf<typeof StartRequest>;

/** Response to a {@linkcode StartRequest}. */
export const StartResponse = t.union([
  t.type({ type: t.literal("started") }),
  t.type({ type: t.literal("notStarted"), reason: ReasonCodec }),
  /** The worker may have started the task; the owner finds out and reports a completion. */
  t.type({ type: t.literal("lost") }),
]);
/** Response to a {@linkcode StartRequest}. */
export type StartResponse = t.TypeOf<typeof StartResponse>;

/** Starts a task on a worker of the callee. */
export const startCall: RpcMethod<
  StartRequest,
  StartResponse
> = {
  method: "dispatch.start",
  params: StartRequest,
  result: StartResponse,
};

/** Completion of a task's attempt, as reported by its worker. */
export const AttemptCompletion = t.union([
  t.type({ type: t.literal("succeeded"), result: t.string }),
  t.type({ type: t.literal("failed"), detail: t.string }),
  t.type({
    type: t.literal("stopped"),
    checkpoint: t.union([t.string, t.undefined]),
  }),
  /** The attempt is no longer on its worker, or the worker is gone. */
  t.type({ type: t.literal("lost"), detail: t.string }),
]);
/** Completion of a task's attempt, as reported by its worker. */
export type AttemptCompletion = t.TypeOf<typeof AttemptCompletion>;

/** Reports a completion to the origin instance of the task. `taken` is true once that instance has recorded it. */
export const attemptCompletedCall: RpcMethod<
  { task: string; attempt: string; end: AttemptCompletion; worker: string },
  { taken: boolean }
> = {
  method: "dispatch.ended",
  params: t.type({
    task: t.string,
    attempt: t.string,
    end: AttemptCompletion,
    worker: t.string,
  }),
  result: t.type({ taken: t.boolean }),
};

/** Asks the owner of a worker for the state of an attempt. */
export const findAttemptCall: RpcMethod<
  { worker: string; attempt: string },
  { state: "running" | "neverStarted" | "pending" }
> = {
  method: "dispatch.find",
  params: t.type({ worker: t.string, attempt: t.string }),
  result: t.type({
    state: t.union([
      t.literal("running"),
      t.literal("neverStarted"),
      /** Not known yet. */
      t.literal("pending"),
    ]),
  }),
};

/** Asks the owner of a worker to stop attempts. */
export const stopAttemptsNotice: RpcNotification<
  { attempts: string[]; worker: string }
> = {
  method: "dispatch.stop",
  params: t.type({ attempts: t.array(t.string), worker: t.string }),
};
