/**
 * Messages by which holders of waiting work and owners of workers find each
 * other.
 *
 * @module
 */
import * as t from "io-ts";
import type { Call, Notice } from "../ports/peers.ts";
import {
  AnswerCodec,
  OptionalNumber,
  ReasonCodec,
  ResourcesCodec,
  UrgencyCodec,
} from "./codecs.ts";

/** A request that an owner should send to one of its workers. */
export const RunOrder = t.type({
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
  /** Room that the owner has offered; absent if the holder asks unasked. */
  offer: t.union([t.string, t.undefined]),
  /** Workers that have failed this request before. */
  avoid: t.array(t.string),
});
/** A request that an owner should send to one of its workers. */
export type RunOrder = t.TypeOf<typeof RunOrder>;

/** What became of a {@linkcode RunOrder}. */
export const RunResult = t.union([
  t.type({ type: t.literal("done"), answer: AnswerCodec }),
  /** No byte reached a worker, or the worker said that it did not run it. */
  t.type({
    type: t.literal("notStarted"),
    reason: ReasonCodec,
    retryAfterMs: OptionalNumber,
    worker: t.union([t.string, t.undefined]),
  }),
  /** The worker may have run it. */
  t.type({ type: t.literal("lost"), reason: ReasonCodec, worker: t.string }),
]);
/** What became of a {@linkcode RunOrder}. */
export type RunResult = t.TypeOf<typeof RunResult>;

/** Runs a request on a worker of the callee. */
export const runCall: Call<RunOrder, RunResult> = {
  method: "dispatch.run",
  params: RunOrder,
  result: RunResult,
};

/** Asks an owner what it did with an order whose answer was lost; from then on the owner will not start it. */
export const settleCall: Call<
  { id: string },
  { started: boolean }
> = {
  method: "dispatch.settle",
  params: t.type({ id: t.string }),
  result: t.type({ started: t.boolean }),
};

/** What waits at an instance for one team and workload. */
export const BacklogCodec = t.type({
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
  count: t.number,
  oldestArrivedAgoMs: t.number,
  dueInMs: OptionalNumber,
  need: ResourcesCodec,
});

/** What an instance tells its peers about its queue and its workers. */
export const News = t.type({
  /** Grows with each message of one sender. */
  sequence: t.number,
  /** Room on the workers that the sender owns. */
  free: ResourcesCodec,
  /** How much more teams with a limit may start there; those not named nothing. */
  spare: t.record(t.string, t.number),
  /** The largest room on one worker. */
  largest: ResourcesCodec,
  capacity: ResourcesCodec,
  backlog: t.array(BacklogCodec),
  /** What each team has running on the sender's workers. */
  usage: t.record(t.string, ResourcesCodec),
});
/** What an instance tells its peers about its queue and its workers. */
export type News = t.TypeOf<typeof News>;

/** Sent when something changed, and now and then. */
export const newsNotice: Notice<News> = {
  method: "dispatch.news",
  params: News,
};

/** Decayed counts of attempts and failures on the sender's workers. */
const Failures = t.type({
  counts: t.array(t.type({
    workload: t.string,
    attempts: t.number,
    failures: t.number,
  })),
});

/** Tells peers how often each workload fails, so that they judge their workers by it. */
export const failuresNotice: Notice<t.TypeOf<typeof Failures>> = {
  method: "dispatch.failures",
  params: Failures,
};

/** Room held for the next work of a team and workload at the receiver. */
export const Offer = t.type({
  offer: t.string,
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
  worker: t.string,
  fence: t.number,
  need: ResourcesCodec,
});
/** Room held for the next work of a team and workload at the receiver. */
export type Offer = t.TypeOf<typeof Offer>;

/** Offers room to the holder of waiting work. */
export const offerNotice: Notice<Offer> = {
  method: "dispatch.offer",
  params: Offer,
};

/** Offered room with the lane in which nothing waits for it. */
const Decline = t.type({
  offer: t.string,
  team: t.string,
  workload: t.string,
  urgency: UrgencyCodec,
});

/** Gives back offered room. */
export const declineNotice: Notice<t.TypeOf<typeof Decline>> = {
  method: "dispatch.decline",
  params: Decline,
};

/** Asks for room for so many tasks; the answer holds what could be held. */
export const reserveCall: Call<
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

/** Gives up a reservation, also one that has not arrived yet. */
export const cancelNotice: Notice<{ reservation: string }> = {
  method: "dispatch.cancel",
  params: t.type({ reservation: t.string }),
};

/** The start of a task in offered room. */
export const StartOrder = t.type({
  offer: t.string,
  attempt: t.string,
  task: t.string,
  team: t.string,
  workload: t.string,
  payload: t.string,
});
/** The start of a task in offered room. */
export type StartOrder = t.TypeOf<typeof StartOrder>;

/** What became of a {@linkcode StartOrder}. */
export const StartResult = t.union([
  t.type({ type: t.literal("started") }),
  t.type({ type: t.literal("notStarted"), reason: ReasonCodec }),
  /** The worker may have started it; the owner finds out and tells. */
  t.type({ type: t.literal("lost") }),
]);
/** What became of a {@linkcode StartOrder}. */
export type StartResult = t.TypeOf<typeof StartResult>;

/** Starts a task on a worker of the callee. */
export const startCall: Call<
  StartOrder,
  StartResult
> = {
  method: "dispatch.start",
  params: StartOrder,
  result: StartResult,
};

/** How an attempt of a task ended, as its worker reported it. */
export const AttemptEnd = t.union([
  t.type({ type: t.literal("succeeded"), result: t.string }),
  t.type({ type: t.literal("failed"), detail: t.string }),
  t.type({
    type: t.literal("stopped"),
    checkpoint: t.union([t.string, t.undefined]),
  }),
  /** The worker knows nothing of it any more. */
  t.type({ type: t.literal("lost"), detail: t.string }),
]);
/** How an attempt of a task ended, as its worker reported it. */
export type AttemptEnd = t.TypeOf<typeof AttemptEnd>;

/** Tells the holder of a task how an attempt ended; `taken` once it is kept. */
export const endedCall: Call<
  { task: string; attempt: string; end: AttemptEnd; worker: string },
  { taken: boolean }
> = {
  method: "dispatch.ended",
  params: t.type({
    task: t.string,
    attempt: t.string,
    end: AttemptEnd,
    worker: t.string,
  }),
  result: t.type({ taken: t.boolean }),
};

/** Asks the owner of a worker for an attempt. */
export const findCall: Call<
  { worker: string; attempt: string },
  { state: "running" | "neverStarted" | "pending" }
> = {
  method: "dispatch.find",
  params: t.type({ worker: t.string, attempt: t.string }),
  result: t.type({
    state: t.union([
      t.literal("running"),
      t.literal("neverStarted"),
      /** Nothing can be said yet. */
      t.literal("pending"),
    ]),
  }),
};

/** Asks the owner of a worker to stop attempts. */
export const stopNotice: Notice<{ attempts: string[]; worker: string }> = {
  method: "dispatch.stop",
  params: t.type({ attempts: t.array(t.string), worker: t.string }),
};
