import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import type { Peers } from "../ports/peers.ts";
import { Gateway } from "./gateway.ts";
import type { Leadership } from "./leadership.ts";
import { submitCall } from "./protocol.ts";
import type { ActiveSet } from "./active_set.ts";
import type { QueueCounts } from "./waiting_counts.ts";

const SUBMISSION = {
  id: "00000000000000aa",
  queue: "receipts",
  team: "t",
  spec: { payload: "", steps: [] },
};

type Handler = (params: unknown) => unknown;

/** Opens a gateway on an instance that does not lead, with a leader that may be dead. */
function open() {
  const clock = new ManualClock();
  const harness = {
    leader: "a" as string | undefined,
    running: new Set<string>(),
    /** Failure of calls to instances that are not running. */
    failure: "peerSilent" as "peerSilent" | "peerUnreached",
    calls: [] as string[],
    handlers: new Map<string, Handler>(),
    waiting: undefined as QueueCounts | undefined,
  };
  const peers = {
    call(peer: string) {
      harness.calls.push(peer);
      return harness.running.has(peer)
        ? okAsync({ type: "accepted" })
        : errAsync({ type: harness.failure, message: "gone" });
    },
    serve(call: { readonly method: string }, handler: Handler) {
      harness.handlers.set(call.method, handler);
    },
  } as unknown as Peers;
  const leadership = {
    get leader() {
      const name = harness.leader;
      return name === undefined
        ? undefined
        : { name, address: `${name}:1`, cores: 1 };
    },
    onLeaderChange: () => () => {},
    waitingJobs: () => harness.waiting,
  } as unknown as Leadership;
  const gateway = new Gateway({
    peers,
    leadership,
    cell: () => undefined,
    set: {
      version: 1,
      reaches: () => sleep(clock, 60_000),
    } as unknown as ActiveSet,
    clock,
    metrics: new Metrics(),
  });
  return { clock, harness, gateway };
}

test("a submission that a failed leader may have stored is retried at the next leader", async (t) => {
  const { clock, harness, gateway } = open();
  const result = gateway.submit(SUBMISSION, 2_800);
  await clock.run(100);
  harness.leader = undefined;
  await clock.run(1_700);
  harness.leader = "b";
  harness.running.add("b");
  await clock.run(200);
  t.deepEqual(await result, { type: "answered", answer: "accepted" });
});

test("a submission that reaches no leader is refused before its deadline", async (t) => {
  const { clock, harness, gateway } = open();
  harness.leader = undefined;
  const result = gateway.submit(SUBMISSION, 2_800);
  await clock.run(1_000);
  t.deepEqual(await result, { type: "refused", reason: "noHolder" });
  t.deepEqual(harness.calls, []);
});

test("a submission has an unknown outcome if its leader failed and no other one is elected", async (t) => {
  const { clock, gateway } = open();
  const result = gateway.submit(SUBMISSION, 2_800);
  await clock.run(2_900);
  t.deepEqual(await result, { type: "unknown" });
});

test("a submission that was never sent is refused, not unknown", async (t) => {
  const { clock, harness, gateway } = open();
  harness.failure = "peerUnreached";
  const result = gateway.submit(SUBMISSION, 2_800);
  await clock.run(1_000);
  t.deepEqual(await result, { type: "refused", reason: "noHolder" });
});

test("an instance that does not lead replies at once, without waiting for the caller's set", async (t) => {
  const { clock, harness } = open();
  const submit = harness.handlers.get(submitCall.method)!;
  const result = submit({ ...SUBMISSION, setVersion: 2 });
  await clock.run(10);
  t.deepEqual(await Promise.race([result, "waits"]), { type: "notHolder" });
});

test("the number of waiting jobs is refused while it is unknown", (t) => {
  const { harness, gateway } = open();
  t.deepEqual(gateway.waitingJobs("receipts"), {
    type: "refused",
    reason: "noHolder",
  });
  harness.waiting = new Map([["receipts", 3]]);
  t.deepEqual(gateway.waitingJobs("receipts"), { type: "answered", answer: 3 });
  t.deepEqual(gateway.waitingJobs("billing"), { type: "answered", answer: 0 });
});
