/**
 * What instances say to one another about the cell.
 *
 * @module
 */
import * as t from "io-ts";
import type { Call } from "../ports/peers.ts";
import { AmountsRecord, QueueRecord, SpecRecord } from "./records.ts";

const Team = t.type({
  name: t.string,
  keys: t.array(t.string),
  weight: t.number,
  limit: AmountsRecord,
});

/** The operators' set. */
export const SetMessage = t.type({
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

const Status = t.type({
  holder: Member,
  /** Unique to one start of the holder's process. */
  boot: t.string,
  fence: t.number,
  /** Revision at which the hold was written. */
  revision: t.number,
  setVersion: t.number,
  /** Whether the member is one of those that watch the holder. */
  watches: t.boolean,
  /** Accepted jobs by queue that have not begun. */
  waiting: t.array(t.tuple([t.string, t.number])),
  /** Grows with each change of the members at this process. */
  membersVersion: t.number,
  /** `null`: as told before. */
  members: t.union([t.array(Member), t.null]),
});
const StatusReply = t.type({
  /** Highest fence that the member knows. */
  fence: t.number,
  setVersion: t.number,
  reachesStore: t.boolean,
  /** Version of the members that it has from this holder; 0 for none. */
  membersVersion: t.number,
});

/** The holder tells all members where it stands. */
export const statusCall: Call<typeof Status._A, typeof StatusReply._A> = {
  method: "cell.status",
  params: Status,
  result: StatusReply,
};

const HelloAnswer = t.type({
  boot: t.string,
  fence: t.number,
  holds: t.boolean,
  /** Whether it hears the holder, or is the holder. */
  hearsHolder: t.boolean,
});

/** An instance makes itself known, and asks how another one sees the cell. */
export const helloCall: Call<typeof Member._A, typeof HelloAnswer._A> = {
  method: "cell.hello",
  params: Member,
  result: HelloAnswer,
};

/** A leaving holder asks a member to take the cell over. */
export const yieldCall: Call<{ readonly fence: number }, boolean> = {
  method: "cell.yield",
  params: t.type({ fence: t.number }),
  result: t.boolean,
};

/** Asks for the operators' set; `null` if there is none. */
export const setCall: Call<
  Record<string, never>,
  typeof SetMessage._A | null
> = {
  method: "cell.set",
  params: t.type({}) as t.Type<Record<string, never>>,
  result: t.union([SetMessage, t.null]),
};

const SubmitAnswer = t.union([
  t.type({ type: t.literal("accepted") }),
  t.type({
    type: t.literal("refused"),
    reason: t.union([t.literal("storeAway"), t.literal("overload")]),
  }),
  t.type({ type: t.literal("unknown") }),
  t.type({ type: t.literal("notHolder") }),
]);
/** What the holder answers to a submission. */
export type SubmitAnswer = typeof SubmitAnswer._A;

/** Hands a submission to the holder. */
export const submitCall: Call<
  {
    readonly id: string;
    readonly queue: string;
    readonly team: string;
    readonly setVersion: number;
    readonly spec: typeof SpecRecord._A;
  },
  SubmitAnswer
> = {
  method: "cell.submit",
  params: t.type({
    id: t.string,
    queue: t.string,
    team: t.string,
    setVersion: t.number,
    spec: SpecRecord,
  }),
  result: SubmitAnswer,
};

const State = t.union([
  t.literal("pending"),
  t.literal("running"),
  t.literal("done"),
  t.literal("failed"),
  t.literal("canceled"),
]);
const StateAnswer = t.union([
  t.type({ type: t.literal("found"), state: State }),
  t.type({ type: t.literal("absent") }),
  t.type({ type: t.literal("notHolder") }),
]);
/** What the holder answers to a question for a state. */
export type StateAnswer = typeof StateAnswer._A;

/** Asks the holder for the state of a job. */
export const stateCall: Call<{ readonly id: string }, StateAnswer> = {
  method: "cell.state",
  params: t.type({ id: t.string }),
  result: StateAnswer,
};

const CancelAnswer = t.type({
  type: t.union([
    t.literal("canceled"),
    t.literal("absent"),
    t.literal("unknown"),
    t.literal("notHolder"),
  ]),
});
/** What the holder answers to a cancelation. */
export type CancelAnswer = typeof CancelAnswer._A;

/** Asks the holder to cancel a job. */
export const cancelCall: Call<{ readonly id: string }, CancelAnswer> = {
  method: "cell.cancel",
  params: t.type({ id: t.string }),
  result: CancelAnswer,
};

const AdviceMessage = t.union([
  t.type({
    type: t.literal("advised"),
    tickets: t.array(t.tuple([t.string, t.string])),
  }),
  t.type({ type: t.literal("busy") }),
  t.type({ type: t.literal("failed"), message: t.string }),
]);

/** {@linkcode Advice} as a message. */
export type AdviceMessage = typeof AdviceMessage._A;

/** Asks the advice service through another instance. */
export const adviceCall: Call<
  {
    readonly step: string;
    readonly workers: string[];
    readonly timeoutMs: number;
  },
  typeof AdviceMessage._A
> = {
  method: "advice.ask",
  params: t.type({
    step: t.string,
    workers: t.array(t.string),
    timeoutMs: t.number,
  }),
  result: AdviceMessage,
};

const Recalled = t.type({
  step: t.string,
  bad: t.array(t.string),
  /** Worker, ticket, age of the ticket in milliseconds. */
  good: t.array(t.tuple([t.string, t.string, t.number])),
});

/** What an instance tells of the advice that it has carried. */
export type RecalledMessage = typeof Recalled._A;

/** A new holder asks what an instance remembers of the advice on steps. */
export const recallCall: Call<
  { readonly steps: string[] },
  RecalledMessage[]
> = {
  method: "advice.recall",
  params: t.type({ steps: t.array(t.string) }),
  result: t.array(Recalled),
};

const StoredEntry = t.type({
  key: t.string,
  value: t.string,
  revision: t.number,
});
const StoreRequest = t.union([
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
const StoreAnswer = t.union([
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
/** A call to the store on behalf of another instance. */
export type StoreRequest = typeof StoreRequest._A;
/** Its answer. */
export type StoreAnswer = typeof StoreAnswer._A;

/** Calls the store through another instance. */
export const storeCall: Call<StoreRequest, StoreAnswer> = {
  method: "store.relay",
  params: StoreRequest,
  result: StoreAnswer,
};
