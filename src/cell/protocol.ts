/**
 * The calls that the instances of a cell make to each other.
 *
 * In messages the leader is called `holder`, a heartbeat `cell.status`, and a
 * transfer of leadership `cell.yield`.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod } from "../ports/peers.ts";
import { AmountsRecord, QueueRecord, SpecRecord } from "./records.ts";

const Team = t.type({
  name: t.string,
  keys: t.array(t.string),
  weight: t.number,
  limit: AmountsRecord,
});

/** The operator set as a message. */
export const OperatorSetMessage = t.type({
  version: t.number,
  queues: t.array(QueueRecord),
  teams: t.array(Team),
  maxBodyBytes: t.number,
});

const Member = t.intersection([
  t.type({
    name: t.string,
    address: t.string,
    cores: t.number,
  }),
  t.partial({ startedMs: t.number }),
]);

const Heartbeat = t.intersection([
  t.type({
    holder: Member,
    /** Identifier of the leader's process start, different after each restart. */
    boot: t.string,
    fence: t.number,
    /** Store revision at which the leader record was written. */
    revision: t.number,
    setVersion: t.number,
    /** Whether the receiver is a watcher, which checks on the leader when heartbeats stop. */
    watches: t.boolean,
    /** Queues and their number of accepted jobs that have not started. */
    waiting: t.array(t.tuple([t.string, t.number])),
    /** Version of the member list in this process; increases with each change. */
    membersVersion: t.number,
    /** `null` if the receiver already has this version. */
    members: t.union([t.array(Member), t.null]),
  }),
  t.partial({
    /** Whether the leader itself has counted `waiting`; an older build sends no such field. */
    waitingKnown: t.boolean,
  }),
]);
/** Content of a heartbeat. */
export type Heartbeat = typeof Heartbeat._A;
const HeartbeatReply = t.type({
  /** Highest fence that the member has seen. */
  fence: t.number,
  setVersion: t.number,
  /** Whether the store answers the member's direct calls. */
  reachesStore: t.boolean,
  /** Version of the member list that the member has received from this leader process; 0 for none. */
  membersVersion: t.number,
});

/** Heartbeat of the leader to a member. */
export const heartbeatCall: RpcMethod<
  Heartbeat,
  typeof HeartbeatReply._A
> = {
  method: "cell.status",
  params: Heartbeat,
  result: HeartbeatReply,
};

const HelloReply = t.type({
  boot: t.string,
  /** Highest fence that the instance has seen. */
  fence: t.number,
  /** Whether the instance leads the cell. */
  holds: t.boolean,
  /** Whether the instance leads, or has heard from the leader recently. */
  hearsHolder: t.boolean,
});

/** Announces an instance to another one, and asks for that instance's view of the leader. */
export const helloCall: RpcMethod<typeof Member._A, typeof HelloReply._A> = {
  method: "cell.hello",
  params: Member,
  result: HelloReply,
};

/** Asks a member to become leader in place of the caller; the result says whether it did. */
export const transferCall: RpcMethod<{ readonly fence: number }, boolean> = {
  method: "cell.yield",
  params: t.type({ fence: t.number }),
  result: t.boolean,
};

/** Asks an instance for its operator set; `null` if it has none. */
export const operatorSetCall: RpcMethod<
  Record<string, never>,
  typeof OperatorSetMessage._A | null
> = {
  method: "cell.set",
  params: t.type({}) as t.Type<Record<string, never>>,
  result: t.union([OperatorSetMessage, t.null]),
};

const SubmitReply = t.union([
  t.type({ type: t.literal("accepted") }),
  t.type({
    type: t.literal("refused"),
    reason: t.union([
      t.literal("storeAway"),
      t.literal("overload"),
      t.literal("canceled"),
    ]),
  }),
  t.type({ type: t.literal("unknown") }),
  t.type({ type: t.literal("notHolder") }),
]);
/** Reply to a submission; `notHolder`: the receiver does not lead. */
export type SubmitReply = typeof SubmitReply._A;

/** Passes a submission on to the leader. */
export const submitCall: RpcMethod<
  {
    readonly id: string;
    readonly queue: string;
    readonly team: string;
    readonly setVersion: number;
    readonly spec: typeof SpecRecord._A;
  },
  SubmitReply
> = {
  method: "cell.submit",
  params: t.type({
    id: t.string,
    queue: t.string,
    team: t.string,
    setVersion: t.number,
    spec: SpecRecord,
  }),
  result: SubmitReply,
};

const JobState = t.union([
  t.literal("pending"),
  t.literal("running"),
  t.literal("done"),
  t.literal("failed"),
  t.literal("canceled"),
]);
const StateReply = t.union([
  t.type({ type: t.literal("found"), state: JobState }),
  t.type({ type: t.literal("absent") }),
  t.type({ type: t.literal("notHolder") }),
]);
/** Reply to a request for a job's state; `notHolder`: the receiver does not lead. */
export type StateReply = typeof StateReply._A;

/** Asks the leader for the state of a job. */
export const stateCall: RpcMethod<{ readonly id: string }, StateReply> = {
  method: "cell.state",
  params: t.type({ id: t.string }),
  result: StateReply,
};

const CancelReply = t.type({
  type: t.union([
    t.literal("canceled"),
    t.literal("absent"),
    t.literal("unknown"),
    t.literal("notHolder"),
  ]),
});
/** Reply to a cancelation; `notHolder`: the receiver does not lead. */
export type CancelReply = typeof CancelReply._A;

/** Asks the leader to cancel a job. */
export const cancelCall: RpcMethod<{ readonly id: string }, CancelReply> = {
  method: "cell.cancel",
  params: t.type({ id: t.string }),
  result: CancelReply,
};

const AdviceMessage = t.union([
  t.type({
    type: t.literal("advised"),
    tickets: t.array(t.tuple([t.string, t.string])),
  }),
  t.type({ type: t.literal("busy") }),
  t.type({ type: t.literal("failed"), message: t.string }),
]);

/** {@linkcode Advice} as a message; `tickets` are pairs of worker and ticket. */
export type AdviceMessage = typeof AdviceMessage._A;

/**
 * Starts of workers' processes, Unix milliseconds; `null` if unknown. Older
 * builds neither send nor read them.
 */
const ProcessStarts = t.array(t.union([t.number, t.null]));

const AdviceRelayRequest = t.intersection([
  t.type({
    step: t.string,
    workers: t.array(t.string),
    timeoutMs: t.number,
  }),
  t.partial({
    /** In the order of `workers`. */
    processStartsMs: ProcessStarts,
  }),
]);

/** Sends an advice request through another instance. */
export const adviceRelayCall: RpcMethod<
  typeof AdviceRelayRequest._A,
  typeof AdviceMessage._A
> = {
  method: "advice.ask",
  params: AdviceRelayRequest,
  result: AdviceMessage,
};

const RecoveredAdvice = t.intersection([
  t.type({
    step: t.string,
    bad: t.array(t.string),
    /** Worker, ticket, and age of the ticket in milliseconds. */
    good: t.array(t.tuple([t.string, t.string, t.number])),
  }),
  t.partial({
    /** In the order of `bad`. */
    badProcessStartsMs: ProcessStarts,
    /** In the order of `good`. */
    goodProcessStartsMs: ProcessStarts,
  }),
]);

/** Advice on one step that an instance has in its cache. */
export type RecoveredAdviceMessage = typeof RecoveredAdvice._A;

/** Asks an instance for its cached advice on steps; a new leader calls this. */
export const adviceRecoveryCall: RpcMethod<
  { readonly steps: string[] },
  RecoveredAdviceMessage[]
> = {
  method: "advice.recall",
  params: t.type({ steps: t.array(t.string) }),
  result: t.array(RecoveredAdvice),
};

const StoredEntry = t.type({
  key: t.string,
  value: t.string,
  revision: t.number,
});
const StoreRelayRequest = t.union([
  t.type({ type: t.literal("get"), key: t.string }),
  t.type({ type: t.literal("list"), prefix: t.string }),
  t.type({
    type: t.literal("commit"),
    conditions: t.array(t.type({ key: t.string, revision: t.number })),
    writes: t.array(t.union([
      t.type({ type: t.literal("put"), key: t.string, value: t.string }),
      t.type({ type: t.literal("delete"), key: t.string }),
    ])),
  }),
]);
const StoreRelayReply = t.union([
  t.type({ type: t.literal("entry"), entry: t.union([StoredEntry, t.null]) }),
  t.type({
    type: t.literal("entries"),
    entries: t.array(StoredEntry),
    revision: t.number,
  }),
  t.type({ type: t.literal("committed"), revision: t.number }),
  t.type({
    type: t.literal("conflict"),
    revision: t.number,
    entries: t.array(StoredEntry),
  }),
  t.type({
    type: t.literal("failure"),
    failure: t.type({
      type: t.union([
        t.literal("storeUnreachable"),
        t.literal("storeAnswerLost"),
        t.literal("storeBusy"),
        t.literal("storeProtocol"),
      ]),
      message: t.string,
    }),
  }),
]);
/** A store call that an instance makes on behalf of another one. */
export type StoreRelayRequest = typeof StoreRelayRequest._A;
/** Result of a relayed store call. */
export type StoreRelayReply = typeof StoreRelayReply._A;

/** Makes a store call through another instance. */
export const storeRelayCall: RpcMethod<StoreRelayRequest, StoreRelayReply> = {
  method: "store.relay",
  params: StoreRelayRequest,
  result: StoreRelayReply,
};
