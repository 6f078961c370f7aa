import test from "ava";
import { issueKey } from "../operator_set/keys.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import type {
  IdempotencyGuard,
  IdempotencyKeyState,
} from "../ports/key_guard.ts";
import type { Outcome } from "../types.ts";
import { type Admission, admit } from "./admit.ts";
import { atMostOnce, KEY_HEADER } from "./at_most_once.ts";
import { authenticate } from "./authenticate.ts";
import { chain, type Exchange, type Filter, type Service } from "./chain.ts";
import { check } from "./check.ts";

const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "", worker: "worker-1" },
};

const resources = { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 1 };

const service: Service = {
  kind: "service",
  name: "receipt-print",
  queue: "urgent",
  resources,
  idempotent: false,
  timeoutMs: 1_000,
  attempts: 1,
  replicas: 0,
  path: "/",
};

const exchange: Exchange = {
  id: "1",
  workload: service.name,
  method: "GET",
  path: "/",
  headers: {},
  body: "",
  arrivedAtMs: 0,
  abandoned: () => false,
};

function answerDone(): Promise<Outcome> {
  return Promise.resolve(done);
}

test("filters run in order until one of them answers", async (t) => {
  const passed: string[] = [];
  const named = (name: string): Filter => (given, next) => {
    passed.push(name);
    return next({ ...given, id: given.id + name });
  };
  const last = (given: Exchange) => {
    passed.push(given.id);
    return answerDone();
  };
  t.is(await chain([named("a"), named("b")], last)(exchange), done);
  t.deepEqual(passed, ["a", "b", "1ab"]);
  const refusal: Outcome = { type: "notRun", reason: { type: "stopping" } };
  const refuse: Filter = () => Promise.resolve(refusal);
  t.is(await chain([refuse, named("c")], last)(exchange), refusal);
  t.is(passed.length, 3);
});

const ready: Admission = {
  stopping: () => false,
  configured: () => true,
  inContact: () => true,
};

const admissions = [
  { name: "ready", change: {}, reason: undefined },
  { name: "stopping", change: { stopping: () => true }, reason: "stopping" },
  {
    name: "no configuration",
    change: { configured: () => false },
    reason: "notConfigured",
  },
  {
    name: "isolated",
    change: { inContact: () => false },
    reason: "isolated",
  },
];

for (const { name, change, reason } of admissions) {
  test(`admission: ${name}`, async (t) => {
    const outcome = await admit({ ...ready, ...change })(exchange, answerDone);
    if (reason === undefined) return t.is(outcome, done);
    t.like(outcome, { type: "notRun", reason: { type: reason } });
    t.true(outcome.type === "notRun" && outcome.retryAfterMs! > 0);
  });
}

const counter = issueKey("counter-key", "counter");
const billing = issueKey("billing-key", "billing");
const withdrawn = issueKey("old-key", "counter");

function queue(name: string, change: Partial<Queue> = {}): Queue {
  return {
    name,
    urgency: "urgent",
    open: false,
    teams: ["counter"],
    maxWaiting: 10,
    maxWaitMs: 1_000,
    ...change,
  };
}

const workloads: readonly Workload[] = [
  service,
  { ...service, name: "public", queue: "open" },
  { ...service, name: "orphan", queue: "gone" },
  { ...service, kind: "batch", name: "billing-run", dueMs: 0 },
];

const set: OperatorSet = {
  teams: new Map(),
  keys: new Map([
    ["counter-key", counter.key],
    ["billing-key", billing.key],
    ["old-key", { ...withdrawn.key, withdrawn: true }],
  ]),
  queues: new Map([
    ["urgent", queue("urgent")],
    ["open", queue("open", { open: true, teams: ["public"] })],
  ]),
  shares: new Map(),
  limits: new Map(),
  workloads: new Map(workloads.map((each) => [each.name, each])),
  drains: new Map(),
  evacuations: new Map(),
  resumes: new Map(),
};

const accesses: readonly {
  readonly name: string;
  readonly workload?: string;
  readonly key?: string;
  readonly team?: string;
  readonly reason?: string;
}[] = [
  { name: "own key", key: counter.presented, team: "counter" },
  { name: "no key", reason: "unknownKey" },
  { name: "empty key", key: "", reason: "unknownKey" },
  { name: "unknown key", key: "nobody.secret", reason: "unknownKey" },
  { name: "wrong secret", key: "counter-key.x", reason: "unknownKey" },
  { name: "name alone", key: "counter-key", reason: "unknownKey" },
  {
    name: "secret of another key",
    key: `counter-key.${billing.presented.split(".")[1]}`,
    reason: "unknownKey",
  },
  {
    name: "withdrawn key",
    key: withdrawn.presented,
    reason: "withdrawnKey",
  },
  {
    name: "team not allowed",
    key: billing.presented,
    reason: "notAllowed",
  },
  { name: "open queue", workload: "public", team: "public" },
  {
    name: "open queue with a key",
    workload: "public",
    key: withdrawn.presented,
    team: "public",
  },
  {
    name: "unknown workload",
    workload: "x",
    key: counter.presented,
    reason: "unknownWorkload",
  },
  {
    name: "unknown workload without key",
    workload: "x",
    reason: "unknownKey",
  },
  {
    name: "name of a built-in property",
    workload: "__proto__",
    key: counter.presented,
    reason: "unknownWorkload",
  },
  {
    name: "workload without queue",
    workload: "orphan",
    key: counter.presented,
    reason: "unknownWorkload",
  },
];

for (const { name, workload, key, team, reason } of accesses) {
  test(`access: ${name}`, async (t) => {
    let granted: Exchange | undefined;
    const given = { ...exchange, key, workload: workload ?? service.name };
    const outcome = await authenticate(() => set)(given, (next) => {
      granted = next;
      return answerDone();
    });
    t.is(granted?.team, team);
    if (reason === undefined) return t.is(outcome, done);
    t.like(outcome, { type: "notRun", reason: { type: reason } });
    t.false(JSON.stringify(outcome).includes("secret"));
  });
}

test("the next request with a withdrawn key is rejected", async (t) => {
  let current = set;
  const filter = authenticate(() => current);
  const given = { ...exchange, key: counter.presented };
  t.is(await filter(given, answerDone), done);
  const key = { ...counter.key, withdrawn: true };
  current = { ...set, keys: new Map([["counter-key", key]]) };
  t.like(await filter(given, answerDone), { reason: { type: "withdrawnKey" } });
});

const checks = [
  { name: "fits", service, fits: true, reason: undefined },
  { name: "fits nowhere", service, fits: false, reason: "neverFits" },
  {
    name: "no service",
    service: undefined,
    fits: true,
    reason: "badRequest",
  },
];

for (const { name, service, fits, reason } of checks) {
  test(`check: ${name}`, async (t) => {
    const filter = check({ couldEverFit: () => fits });
    const outcome = await filter({ ...exchange, service }, answerDone);
    if (reason === undefined) return t.is(outcome, done);
    t.like(outcome, { type: "notRun", reason: { type: reason } });
  });
}

class FixedGuard implements IdempotencyGuard {
  readonly finished: Outcome[] = [];
  readonly #state: IdempotencyKeyState;

  constructor(state: IdempotencyKeyState) {
    this.#state = state;
  }

  begin(): Promise<IdempotencyKeyState> {
    return Promise.resolve(this.#state);
  }

  finish(_team: string, _key: string, outcome: Outcome): Promise<void> {
    this.finished.push(outcome);
    return Promise.resolve();
  }
}

const unknown: Outcome = {
  type: "unknown",
  reason: { type: "workerLost", worker: "worker-1" },
};

const states: readonly {
  readonly state: IdempotencyKeyState;
  readonly runs: boolean;
  readonly outcome: object;
}[] = [
  { state: { type: "fresh" }, runs: true, outcome: done },
  {
    state: { type: "ended", outcome: unknown },
    runs: false,
    outcome: unknown,
  },
  {
    state: { type: "inProgress" },
    runs: false,
    outcome: { type: "unknown", reason: { type: "duplicateKey" } },
  },
  {
    state: { type: "forgotten" },
    runs: false,
    outcome: { type: "unknown", reason: { type: "keyMemoryLost" } },
  },
  {
    state: { type: "homeAway", retryAfterMs: 700 },
    runs: false,
    outcome: {
      type: "notRun",
      reason: { type: "noOwner" },
      retryAfterMs: 700,
    },
  },
];

for (const { state, runs, outcome } of states) {
  test(`at most once: ${state.type}`, async (t) => {
    const guard = new FixedGuard(state);
    let ran = 0;
    const headers = { [KEY_HEADER]: "k" };
    const given = { ...exchange, service, headers };
    const result = await atMostOnce(guard)(given, () => {
      ran++;
      return answerDone();
    });
    t.like(result, outcome);
    t.is(ran, runs ? 1 : 0);
    t.deepEqual(guard.finished, runs ? [done] : []);
  });
}

test("at most once: after an internal failure the outcome of the key is unknown", async (t) => {
  const guard = new FixedGuard({ type: "fresh" });
  const headers = { [KEY_HEADER]: "k" };
  const given = { ...exchange, service, headers };
  const fail = () => Promise.reject(new RangeError("broken"));
  await t.throwsAsync(atMostOnce(guard)(given, fail), {
    instanceOf: RangeError,
  });
  t.like(guard.finished[0], { type: "unknown" });
});

const keys = [
  { name: "idempotent service", idempotent: true, key: "k", guarded: false },
  { name: "no key", idempotent: false, key: undefined, guarded: false },
  { name: "key", idempotent: false, key: "k", guarded: true },
];

for (const { name, idempotent, key, guarded } of keys) {
  test(`at most once applies: ${name}`, async (t) => {
    const guard = new FixedGuard({ type: "fresh" });
    const headers: Record<string, string> = key === undefined
      ? {}
      : { [KEY_HEADER]: key };
    const given = { ...exchange, service: { ...service, idempotent }, headers };
    t.is(await atMostOnce(guard)(given, answerDone), done);
    t.is(guard.finished.length, guarded ? 1 : 0);
  });
}

for (const key of ["", "k".repeat(201)]) {
  test(`at most once rejects a key of ${key.length} characters`, async (t) => {
    const guard = new FixedGuard({ type: "fresh" });
    const headers = { [KEY_HEADER]: key };
    const given = { ...exchange, service, headers };
    const outcome = await atMostOnce(guard)(given, answerDone);
    t.like(outcome, { type: "notRun", reason: { type: "badRequest" } });
    t.is(guard.finished.length, 0);
  });
}
