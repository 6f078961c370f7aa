import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import type { Peers } from "../ports/peers.ts";
import { Gateway } from "./gateway.ts";
import type { Leadership } from "./leadership.ts";
import { submitCall } from "./protocol.ts";
import type { SetInForce } from "./set_in_force.ts";

const SUBMISSION = {
  id: "00000000000000aa",
  queue: "receipts",
  team: "t",
  spec: { payload: "", steps: [] },
};

type Handler = (params: unknown) => unknown;

/** An entry beside a holder that may be gone, and its successor. */
function open() {
  const clock = new ManualClock();
  const world = {
    holder: "a" as string | undefined,
    living: new Set<string>(),
    /** Why calls to others fail. */
    failure: "peerSilent" as "peerSilent" | "peerUnreached",
    calls: [] as string[],
    served: new Map<string, Handler>(),
  };
  const peers = {
    call(peer: string) {
      world.calls.push(peer);
      return world.living.has(peer)
        ? okAsync({ type: "accepted" })
        : errAsync({ type: world.failure, message: "gone" });
    },
    serve(call: { readonly method: string }, handler: Handler) {
      world.served.set(call.method, handler);
    },
  } as unknown as Peers;
  const leadership = {
    get holder() {
      const name = world.holder;
      return name === undefined
        ? undefined
        : { name, address: `${name}:1`, cores: 1 };
    },
    onReplaced: () => () => {},
  } as unknown as Leadership;
  const gateway = new Gateway({
    peers,
    leadership,
    cell: () => undefined,
    set: {
      version: 1,
      reaches: () => sleep(clock, 60_000),
    } as unknown as SetInForce,
    clock,
    metrics: new Metrics(),
  });
  return { clock, world, gateway };
}

test("a submission that a lost holder may have is made again at the next one", async (t) => {
  const { clock, world, gateway } = open();
  const answer = gateway.submit(SUBMISSION, 2_800);
  await clock.run(100);
  world.holder = undefined;
  await clock.run(1_700);
  world.holder = "b";
  world.living.add("b");
  await clock.run(200);
  t.deepEqual(await answer, { type: "answered", answer: "accepted" });
});

test("a submission that no holder got is refused while its client can try again", async (t) => {
  const { clock, world, gateway } = open();
  world.holder = undefined;
  const answer = gateway.submit(SUBMISSION, 2_800);
  await clock.run(1_000);
  t.deepEqual(await answer, { type: "refused", reason: "noHolder" });
  t.deepEqual(world.calls, []);
});

test("nobody knows of a submission whose holder stays lost", async (t) => {
  const { clock, gateway } = open();
  const answer = gateway.submit(SUBMISSION, 2_800);
  await clock.run(2_900);
  t.deepEqual(await answer, { type: "unknown" });
});

test("a submission that was never sent is refused, not unknown", async (t) => {
  const { clock, world, gateway } = open();
  world.failure = "peerUnreached";
  const answer = gateway.submit(SUBMISSION, 2_800);
  await clock.run(1_000);
  t.deepEqual(await answer, { type: "refused", reason: "noHolder" });
});

test("an instance that holds no cell says so before it has its caller's set", async (t) => {
  const { clock, world } = open();
  const submit = world.served.get(submitCall.method)!;
  const answer = submit({ ...SUBMISSION, setVersion: 2 });
  await clock.run(10);
  t.deepEqual(await Promise.race([answer, "waits"]), { type: "notHolder" });
});
