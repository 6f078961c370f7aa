import test from "ava";
import type { Task } from "../journal/records.ts";
import type { Reason } from "../types.ts";
import { describe, statusOf } from "./answers.ts";
import { type WaitInputs, waitReason, workReason } from "./reasons.ts";

const facts: WaitInputs = {
  team: "billing",
  workload: "billing-run",
  known: true,
  couldEverFit: true,
  inContact: true,
  storeReached: true,
  limit: 10,
  running: 3,
  rank: 0.5,
  fairRank: 1,
};

const waitCases: readonly {
  readonly change: Partial<WaitInputs>;
  readonly type: Reason["type"];
}[] = [
  { change: {}, type: "noRoom" },
  { change: { limit: undefined, running: 99 }, type: "noRoom" },
  { change: { known: false }, type: "unknownWorkload" },
  { change: { couldEverFit: false, running: 10 }, type: "neverFits" },
  { change: { inContact: false, storeReached: false }, type: "isolated" },
  { change: { storeReached: false, running: 10 }, type: "storeAway" },
  { change: { running: 10 }, type: "overLimit" },
  { change: { rank: 2 }, type: "overShare" },
  { change: { rank: 2, running: 10 }, type: "overLimit" },
];

for (const { change, type } of waitCases) {
  const name = Object.entries(change).map((pair) => pair.join(" is "));
  test(`reason of waiting work: ${name.join(", ") || "default facts"}`, (t) => {
    t.is(waitReason({ ...facts, ...change }).type, type);
  });
}

const waiting: Task = { type: "waiting", attempts: 0 };
const running: Task = {
  type: "running",
  attempts: 1,
  attempt: "a",
  worker: "worker-7",
  fence: 1,
  since: 0,
};
const parked: Task = {
  type: "parked",
  attempts: 3,
  cause: "attemptsSpent",
  detail: "",
};
const cancelled: Task = { type: "cancelled" };
const succeeded: Task = { type: "succeeded" };

const workCases: readonly {
  readonly name: string;
  readonly tasks: readonly Task[];
  readonly reason: Reason | undefined;
}[] = [
  { name: "waiting", tasks: [waiting], reason: { type: "noOwner" } },
  {
    name: "running",
    tasks: [parked, waiting, running],
    reason: { type: "placed", worker: "worker-7" },
  },
  {
    name: "parked",
    tasks: [succeeded, parked],
    reason: { type: "attemptsSpent", attempts: 3 },
  },
  {
    name: "parked with its outcome unknown",
    tasks: [{ ...parked, cause: "outcomeUnknown", worker: "worker-7" }],
    reason: { type: "workerLost", worker: "worker-7" },
  },
  { name: "cancelled", tasks: [cancelled], reason: { type: "cancelled" } },
  { name: "succeeded", tasks: [succeeded], reason: undefined },
];

for (const { name, tasks, reason } of workCases) {
  test(`reason of a work: ${name}`, (t) => {
    t.deepEqual(workReason(tasks, () => ({ type: "noOwner" })), reason);
  });
}

/** One reason of each type; the mapped type makes the compiler require all of them. */
const reasons: { readonly [K in Reason["type"]]: Reason & { type: K } } = {
  placed: { type: "placed", worker: "w" },
  unknownKey: { type: "unknownKey" },
  withdrawnKey: { type: "withdrawnKey" },
  unknownWorkload: { type: "unknownWorkload", workload: "w" },
  notAllowed: { type: "notAllowed", queue: "q" },
  badRequest: { type: "badRequest", detail: "what is wrong" },
  tooLarge: { type: "tooLarge", limitBytes: 1 },
  queueFull: { type: "queueFull", queue: "q" },
  deadlineTooClose: { type: "deadlineTooClose", queue: "q" },
  overLimit: { type: "overLimit", team: "t", limit: 1 },
  overShare: { type: "overShare", team: "t" },
  noRoom: { type: "noRoom", workload: "w" },
  neverFits: { type: "neverFits", workload: "w" },
  noOwner: { type: "noOwner" },
  overloaded: { type: "overloaded" },
  isolated: { type: "isolated" },
  stopping: { type: "stopping" },
  storeAway: { type: "storeAway" },
  notConfigured: { type: "notConfigured" },
  workerLost: { type: "workerLost", worker: "w" },
  workerFailed: { type: "workerFailed", worker: "w" },
  peerLost: { type: "peerLost", peer: "p" },
  keyMemoryLost: { type: "keyMemoryLost" },
  duplicateKey: { type: "duplicateKey" },
  attemptsSpent: { type: "attemptsSpent", attempts: 1 },
  cancelled: { type: "cancelled" },
};

for (const reason of Object.values(reasons)) {
  test(`a reason has an HTTP error status and a description: ${reason.type}`, (t) => {
    t.true(statusOf(reason) >= 400 && statusOf(reason) < 600);
    t.true(describe(reason).length > 0);
  });
}
